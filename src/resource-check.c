/* Validation of resources before a change is written and again at replay. */
#include <string.h>

#include "error.h"
#include "place.h"
#include "resource-check.h"
#include "resource.h"
#include "route.h"
#include "state.h"

#define NAME_MAX_LEN 63
#define KEY_HASH_LEN 64

enum field_kind {
	FIELD_STRING,
	FIELD_INT,
	FIELD_NUMBER,
	FIELD_COUNTS,  /* object of name to integer */
	FIELD_STRINGS, /* array of strings */
};

/*
 * A field of a resource type. min and max bound numbers, the values of a
 * FIELD_COUNTS object, and the length of strings. references is the type of the
 * resource that the value names, or NULL. check is a further test of a value of
 * the right kind, or NULL, and expected tells what passes it.
 */
struct field {
	const char *name;
	enum field_kind kind;
	bool required;
	double min;
	double max;
	const char *references;
	bool (*check)(json_t *);
	const char *expected;
};

/* A resource type with its fields. */
struct type {
	const char *name;
	const struct field *fields;
};

static bool check_key_hash(json_t *);
static bool check_class(json_t *);
static bool check_split(json_t *);
static bool check_placement_policy(json_t *);

static const struct field deployment_fields[] = {
	{ "model", FIELD_STRING, true, 1, 128, NULL, NULL, NULL },
	{ "pool", FIELD_STRING, true, 1, 63, NULL, NULL, NULL },
	{ "hosts_per_replica", FIELD_INT, true, 1, 64, NULL, NULL, NULL },
	{ "replicas", FIELD_COUNTS, true, 0, 1000, NULL, NULL, NULL },
	{ "replica_requests", FIELD_INT, false, 1, 10000, NULL, NULL, NULL },
	{ "placement", FIELD_STRING, false, 1, 63, "placement", NULL, NULL },
	{ "routing", FIELD_STRING, false, 1, 63, "routing", NULL, NULL },
	{ NULL, 0, false, 0, 0, NULL, NULL, NULL },
};
static const struct field service_fields[] = {
	{ "pool", FIELD_STRING, true, 1, 63, NULL, NULL, NULL },
	{ "idempotent_methods", FIELD_STRINGS, false, 1, 16, NULL, NULL, NULL },
	{ "timeout_ms", FIELD_INT, false, 1, 600000, NULL, NULL, NULL },
	{ "routing", FIELD_STRING, false, 1, 63, "routing", NULL, NULL },
	{ NULL, 0, false, 0, 0, NULL, NULL, NULL },
};
static const struct field customer_fields[] = {
	{ "key_sha256", FIELD_STRING, true, KEY_HASH_LEN, KEY_HASH_LEN, NULL,
	    check_key_hash, "64 lower-case hexadecimal digits" },
	{ "rate", FIELD_NUMBER, false, 0.01, 100000, NULL, NULL, NULL },
	{ "burst", FIELD_INT, false, 1, 100000, NULL, NULL, NULL },
	{ "concurrency", FIELD_INT, false, 1, 100000, NULL, NULL, NULL },
	{ "weight", FIELD_INT, false, 1, 1000, NULL, NULL, NULL },
	{ "class", FIELD_STRING, false, 1, 16, NULL, check_class,
	    "interactive or batch" },
	{ NULL, 0, false, 0, 0, NULL, NULL, NULL },
};
static const struct field routing_fields[] = {
	{ "split", FIELD_COUNTS, true, 0, 100, NULL, check_split,
	    "known policies whose percentages sum to 100" },
	{ NULL, 0, false, 0, 0, NULL, NULL, NULL },
};
static const struct field placement_fields[] = {
	{ "policy", FIELD_STRING, true, 1, 63, NULL, check_placement_policy,
	    "replace, reform, spare or weighted" },
	{ "spares", FIELD_INT, false, 0, 16, NULL, NULL, NULL },
	{ "downtime_weight", FIELD_NUMBER, false, 0, 1, NULL, NULL, NULL },
	{ NULL, 0, false, 0, 0, NULL, NULL, NULL },
};
static const struct type type_table[] = {
	{ "deployment", deployment_fields },
	{ "service", service_fields },
	{ "customer", customer_fields },
	{ "routing", routing_fields },
	{ "placement", placement_fields },
	{ NULL, NULL },
};

/* Checks a SHA-256: only the hash of a customer's API key is stored. */
static bool
check_key_hash(json_t *value)
{
	const char *s = json_string_value(value);

	return (strspn(s, "0123456789abcdef") == KEY_HASH_LEN);
}

static bool
check_class(json_t *value)
{
	const char *s = json_string_value(value);

	return (strcmp(s, "interactive") == 0 || strcmp(s, "batch") == 0);
}

/* Checks that a split names known policies and adds up to 100 percent. */
static bool
check_split(json_t *value)
{
	const char *policy;
	json_t *percent;
	json_int_t sum = 0;

	json_object_foreach(value, policy, percent) {
		if (route_policy_find(policy) == NULL)
			return (false);
		sum += json_integer_value(percent);
	}
	return (sum == 100);
}

static bool
check_placement_policy(json_t *value)
{
	return (place_policy_find(json_string_value(value)) != NULL);
}

/* Checks a number or length against the bounds of its field. */
static bool
check_range(const struct field *f, const char *what, double n, GError **error)
{
	if (n >= f->min && n <= f->max)
		return (true);
	error_set(error, ERROR_BAD_FIELD, "%s: %g is outside %g to %g", what, n,
	    f->min, f->max);
	return (false);
}

static bool
check_counts(const struct field *f, json_t *value, GError **error)
{
	g_autofree char *what = NULL;
	const char *name;
	json_t *n;

	json_object_foreach(value, name, n) {
		g_free(what);
		what = g_strdup_printf("%s.%s", f->name, name);
		if (!json_is_integer(n)) {
			error_set(error, ERROR_BAD_FIELD,
			    "%s: must be an integer", what);
			return (false);
		}
		if (!check_range(f, what, json_number_value(n), error))
			return (false);
	}
	return (true);
}

static bool
check_strings(const struct field *f, json_t *value, GError **error)
{
	size_t i;
	json_t *s;

	json_array_foreach(value, i, s) {
		if (!json_is_string(s)) {
			error_set(error, ERROR_BAD_FIELD,
			    "%s: must hold strings", f->name);
			return (false);
		}
		if (!check_range(f, f->name, json_string_length(s), error))
			return (false);
	}
	return (true);
}

/* Checks the JSON type of a value and its bounds. */
static bool
check_kind(const struct field *f, json_t *value, GError **error)
{
	const char *expected = NULL;

	switch (f->kind) {
	case FIELD_STRING:
		if (json_is_string(value))
			return (check_range(f, f->name,
			    json_string_length(value), error));
		expected = "a string";
		break;
	case FIELD_INT:
		if (json_is_integer(value))
			return (check_range(f, f->name,
			    json_number_value(value), error));
		expected = "an integer";
		break;
	case FIELD_NUMBER:
		if (json_is_number(value))
			return (check_range(f, f->name,
			    json_number_value(value), error));
		expected = "a number";
		break;
	case FIELD_COUNTS:
		if (json_is_object(value))
			return (check_counts(f, value, error));
		expected = "an object of integers";
		break;
	case FIELD_STRINGS:
		if (json_is_array(value))
			return (check_strings(f, value, error));
		expected = "an array of strings";
		break;
	}
	error_set(error, ERROR_BAD_FIELD, "%s: must be %s", f->name, expected);
	return (false);
}

static bool
check_field(const struct field *f, json_t *value, GError **error)
{
	if (value == NULL) {
		if (!f->required)
			return (true);
		error_set(error, ERROR_BAD_FIELD, "%s: is required", f->name);
		return (false);
	}
	if (!check_kind(f, value, error))
		return (false);
	if (f->check != NULL && !f->check(value)) {
		error_set(error, ERROR_BAD_FIELD, "%s: must be %s", f->name,
		    f->expected);
		return (false);
	}
	return (true);
}

static const struct type *
type_find(const char *name)
{
	for (const struct type *t = type_table; t->name != NULL; t++) {
		if (strcmp(t->name, name) == 0)
			return (t);
	}
	return (NULL);
}

static const struct field *
field_find(const struct type *type, const char *name)
{
	for (const struct field *f = type->fields; f->name != NULL; f++) {
		if (strcmp(f->name, name) == 0)
			return (f);
	}
	return (NULL);
}

/**
 * resource_check_name() - check the name of a resource.
 * @name: 1 to 63 of a-z, 0-9 and '-'
 * @error: ERROR_BAD_FIELD
 */
bool
resource_check_name(const char *name, GError **error)
{
	size_t len = strlen(name);

	if (len >= 1 && len <= NAME_MAX_LEN &&
	    strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-") == len)
		return (true);
	error_set(error, ERROR_BAD_FIELD,
	    "name: must be 1 to %d of a-z, 0-9 and -", NAME_MAX_LEN);
	return (false);
}

/**
 * resource_check_spec() - check the fields of a spec, without other resources.
 * @type_name: type of the resource
 * @spec: declared fields
 * @error: ERROR_NOT_FOUND for an unknown type, else ERROR_BAD_FIELD with the
 *	field and what it must be
 */
bool
resource_check_spec(const char *type_name, json_t *spec, GError **error)
{
	const struct type *type;
	const char *name;
	json_t *value;

	type = type_find(type_name);
	if (type == NULL) {
		error_set(error, ERROR_NOT_FOUND,
		    "type: no such resource type");
		return (false);
	}
	if (!json_is_object(spec)) {
		error_set(error, ERROR_BAD_FIELD, "spec: must be an object");
		return (false);
	}
	json_object_foreach(spec, name, value) {
		if (field_find(type, name) == NULL) {
			error_set(error, ERROR_BAD_FIELD, "%s: unknown field",
			    name);
			return (false);
		}
	}
	for (const struct field *f = type->fields; f->name != NULL; f++) {
		if (!check_field(f, json_object_get(spec, f->name), error))
			return (false);
	}
	return (true);
}

/**
 * resource_check_references() - check that the resources a spec names exist.
 * @state: the state that the change is based on
 * @type_name: type of the resource
 * @spec: a spec that passed resource_check_spec()
 * @error: ERROR_BAD_FIELD
 */
bool
resource_check_references(const struct state *state, const char *type_name,
    json_t *spec, GError **error)
{
	const struct type *type = type_find(type_name);
	const char *name;

	for (const struct field *f = type->fields; f->name != NULL; f++) {
		name = json_string_value(json_object_get(spec, f->name));
		if (f->references == NULL || name == NULL)
			continue;
		if (resource_exists(state_resource(state, f->references, name)))
			continue;
		error_set(error, ERROR_BAD_FIELD, "%s: no %s named '%s'",
		    f->name, f->references, name);
		return (false);
	}
	return (true);
}

/* Whether a resource names type/name in one of its fields. */
static bool
resource_refers(const struct resource *res, const char *type, const char *name)
{
	const struct type *t = type_find(res->type);

	for (const struct field *f = t->fields; f->name != NULL; f++) {
		if (f->references == NULL || strcmp(f->references, type) != 0)
			continue;
		if (strcmp(resource_string(res, f->name, ""), name) == 0)
			return (true);
	}
	return (false);
}

/**
 * resource_check_unreferenced() - check that no resource names another one.
 * @state: the state that the deletion is based on
 * @type: type of the resource to delete
 * @name: its name
 * @error: ERROR_CONFLICT with the resource that names it
 */
bool
resource_check_unreferenced(const struct state *state, const char *type,
    const char *name, GError **error)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct resource *res = value;

		if (!resource_exists(res) || !resource_refers(res, type, name))
			continue;
		error_set(error, ERROR_CONFLICT, "%s refers to it", res->key);
		return (false);
	}
	return (true);
}
