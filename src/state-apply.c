/*
 * Replay of the configuration log. Every daemon applies the same records in
 * the same order by these rules, so the validity of a record is a function of
 * the records before it, and the log itself needs no compare-and-swap.
 */
#include <string.h>

#include "error.h"
#include "group.h"
#include "lease.h"
#include "resource-check.h"
#include "resource.h"
#include "state.h"

/* A record kind and the function that replays it. */
struct rule {
	const char *kind;
	enum verdict (*apply)(struct state *, uint64_t, json_t *, GError **);
};

static enum verdict apply_change(struct state *, uint64_t, json_t *, GError **);
static enum verdict apply_lease(struct state *, uint64_t, json_t *, GError **);
static enum verdict apply_renew(struct state *, uint64_t, json_t *, GError **);
static enum verdict apply_form(struct state *, uint64_t, json_t *, GError **);
static enum verdict apply_dissolve(struct state *, uint64_t, json_t *,
    GError **);
static enum verdict apply_nothing(struct state *, uint64_t, json_t *,
    GError **);

static const struct rule rule_table[] = {
	{ "change", apply_change },
	{ "lease", apply_lease },
	{ "renew", apply_renew },
	{ "form", apply_form },
	{ "dissolve", apply_dissolve },
	{ "snapshot", apply_nothing },
	{ NULL, NULL },
};

/**
 * verdict_name() - name of a verdict, for logs.
 * @verdict: the verdict
 */
const char *
verdict_name(enum verdict verdict)
{
	static const char *const names[] = { "applied", "conflict", "invalid",
		"stale_term", "host_taken" };

	return (names[verdict]);
}

static void
state_put_resource(struct state *state, struct resource *res)
{
	g_hash_table_replace(state->resources, res->key, res);
}

static void
state_put_group(struct state *state, struct group *group)
{
	g_hash_table_replace(state->groups, group->name, group);
	for (guint i = 0; i < group->hosts->len; i++)
		g_hash_table_insert(state->host_groups, group->hosts->pdata[i],
		    group);
}

static void
state_remove_group(struct state *state, struct group *group)
{
	for (guint i = 0; i < group->hosts->len; i++)
		g_hash_table_remove(state->host_groups, group->hosts->pdata[i]);
	g_hash_table_remove(state->groups, group->name);
}

static enum verdict
verdict_invalid(GError **error, const char *what)
{
	error_set(error, ERROR_BAD_FIELD, "%s", what);
	return (VERDICT_INVALID);
}

/* Checks that an operator's change is based on the current version. */
static enum verdict
check_base(const struct resource *old, const char *type, const char *name,
    uint64_t base, GError **error)
{
	uint64_t current = old != NULL ? old->version : 0;

	if (base == current)
		return (VERDICT_APPLIED);
	error_set(error, ERROR_CONFLICT,
	    "%s/%s: based on version %" G_GUINT64_FORMAT
	    ", current is %" G_GUINT64_FORMAT,
	    type, name, base, current);
	return (VERDICT_CONFLICT);
}

/**
 * state_check_change() - verdict that replay would give on a change now.
 * @state: the state
 * @record: the change
 * @error: why it would not be applied: ERROR_CONFLICT, ERROR_BAD_FIELD,
 *	ERROR_NOT_FOUND
 */
enum verdict
state_check_change(const struct state *state, json_t *record, GError **error)
{
	const char *op, *type, *name;
	struct resource *old;
	enum verdict verdict;
	json_t *spec = NULL;
	json_int_t base;

	if (json_unpack(record, "{s:s, s:s, s:s, s:I, s?o}", "op", &op, "type",
		&type, "name", &name, "base", &base, "spec", &spec) != 0)
		return (verdict_invalid(error, "change: missing field"));
	if (!resource_check_name(name, error))
		return (VERDICT_INVALID);
	old = state_resource(state, type, name);
	verdict = check_base(old, type, name, (uint64_t)base, error);
	if (verdict != VERDICT_APPLIED)
		return (verdict);
	if (strcmp(op, "delete") == 0) {
		if (!resource_exists(old))
			return (verdict_invalid(error, "delete: not found"));
		if (!resource_check_unreferenced(state, type, name, error))
			return (VERDICT_INVALID);
	} else if (!resource_check_spec(type, spec, error) ||
	    !resource_check_references(state, type, spec, error)) {
		return (VERDICT_INVALID);
	}
	return (VERDICT_APPLIED);
}

/* An operator's put or delete; valid iff based on the current version. */
static enum verdict
apply_change(struct state *state, uint64_t offset, json_t *record,
    GError **error)
{
	const char *op, *type, *name;
	enum verdict verdict;
	json_t *spec;

	verdict = state_check_change(state, record, error);
	if (verdict != VERDICT_APPLIED)
		return (verdict);
	op = json_string_value(json_object_get(record, "op"));
	type = json_string_value(json_object_get(record, "type"));
	name = json_string_value(json_object_get(record, "name"));
	spec = json_object_get(record, "spec");
	if (strcmp(op, "delete") == 0)
		spec = NULL;
	state_put_resource(state, resource_create(type, name, offset, spec));
	return (VERDICT_APPLIED);
}

/* Acquisition of a lease; valid iff it names the term that it ends. */
static enum verdict
apply_lease(struct state *state, uint64_t offset, json_t *record,
    GError **error)
{
	const char *domain, *holder;
	struct lease *old, *lease;
	json_int_t base;

	if (json_unpack(record, "{s:s, s:s, s:I}", "domain", &domain, "holder",
		&holder, "base", &base) != 0)
		return (verdict_invalid(error, "lease: missing field"));
	old = state_lease(state, domain);
	if ((uint64_t)base != (old != NULL ? old->term : 0)) {
		error_set(error, ERROR_CONFLICT,
		    "lease: another one was taken");
		return (VERDICT_CONFLICT);
	}
	lease = lease_create(domain, holder, offset, offset);
	g_hash_table_replace(state->leases, lease->domain, lease);
	return (VERDICT_APPLIED);
}

/* Returns the lease that a record's term names, if it is still the newest. */
static struct lease *
record_lease(struct state *state, json_t *record, GError **error)
{
	const char *domain;
	struct lease *lease;
	json_int_t term;

	if (json_unpack(record, "{s:s, s:I}", "domain", &domain, "term",
		&term) != 0) {
		error_set(error, ERROR_BAD_FIELD, "missing domain or term");
		return (NULL);
	}
	lease = state_lease(state, domain);
	if (lease == NULL || lease->term != (uint64_t)term) {
		error_set(error, ERROR_CONFLICT, "the lease is not the newest");
		return (NULL);
	}
	return (lease);
}

/* Renewal of a lease; valid iff the lease is still the newest. */
static enum verdict
apply_renew(struct state *state, uint64_t offset, json_t *record,
    GError **error)
{
	struct lease *lease;

	lease = record_lease(state, record, error);
	if (lease == NULL)
		return (VERDICT_STALE_TERM);
	lease->renewed = offset;
	return (VERDICT_APPLIED);
}

/* Formation of a group, by the newest lease, of hosts that are in no group. */
static enum verdict
apply_form(struct state *state, uint64_t offset, json_t *record, GError **error)
{
	struct group *group;

	if (record_lease(state, record, error) == NULL)
		return (VERDICT_STALE_TERM);
	group = group_create(record, offset);
	if (group == NULL)
		return (verdict_invalid(error, "form: missing field"));
	if (state_group(state, group->name) != NULL) {
		error_set(error, ERROR_CONFLICT, "group exists");
		group_free(group);
		return (VERDICT_CONFLICT);
	}
	for (guint i = 0; i < group->hosts->len; i++) {
		if (state_host_group(state, group->hosts->pdata[i]) == NULL)
			continue;
		error_set(error, ERROR_CONFLICT, "host %s is in another group",
		    (char *)group->hosts->pdata[i]);
		group_free(group);
		return (VERDICT_HOST_TAKEN);
	}
	state_put_group(state, group);
	return (VERDICT_APPLIED);
}

/* Dissolution of a group; valid iff it names the group's epoch. */
static enum verdict
apply_dissolve(struct state *state, uint64_t offset, json_t *record,
    GError **error)
{
	struct group *group;
	const char *name;
	json_int_t base;

	if (record_lease(state, record, error) == NULL)
		return (VERDICT_STALE_TERM);
	if (json_unpack(record, "{s:s, s:I}", "name", &name, "base", &base) !=
	    0)
		return (verdict_invalid(error, "dissolve: missing field"));
	group = state_group(state, name);
	if (group == NULL || group->epoch != (uint64_t)base) {
		error_set(error, ERROR_CONFLICT, "group is at another epoch");
		return (VERDICT_CONFLICT);
	}
	state_remove_group(state, group);
	return (VERDICT_APPLIED);
}

/* A snapshot changes nothing for a reader that has replayed all before it. */
static enum verdict
apply_nothing(struct state *state, uint64_t offset, json_t *record,
    GError **error)
{
	return (VERDICT_APPLIED);
}

/**
 * state_apply() - replay one record.
 * @state: the state; advances to the next offset whatever the verdict
 * @offset: offset of the record; must be @state's next
 * @record: the record's JSON, or NULL when it did not parse
 * @error: why a record was not applied
 *
 * Return: the verdict on the record. The same prefix gives the same verdict on
 * every daemon.
 */
enum verdict
state_apply(struct state *state, uint64_t offset, json_t *record,
    GError **error)
{
	const char *kind;

	g_assert(offset == state->next);
	state->next = offset + 1;
	kind = json_string_value(json_object_get(record, "kind"));
	if (kind == NULL)
		return (verdict_invalid(error, "record: no kind"));
	for (const struct rule *r = rule_table; r->kind != NULL; r++) {
		if (strcmp(r->kind, kind) == 0)
			return (r->apply(state, offset, record, error));
	}
	return (verdict_invalid(error, "record: unknown kind"));
}
