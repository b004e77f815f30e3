/* Scripts over routing: policies, expected work, stragglers. */
#include <string.h>

#include "resource.h"
#include "route-set.h"
#include "script.h"

#define TARGETS_MAX 16

static struct route_set *set;
static struct target *targets[TARGETS_MAX];
static int n_targets;

static void
reset(void)
{
	for (int i = 0; i < n_targets; i++)
		target_unref(targets[i]);
	n_targets = 0;
	g_clear_pointer(&set, route_set_free);
}

/* policy SPLIT-JSON: makes an empty set in failure domain "a" */
static void
exec_policy(const char *rest, GString *out)
{
	json_auto_t *spec =
	    json_pack("{s:o}", "split", json_loads(rest, 0, NULL));
	json_auto_t *none = json_object();
	struct resource *routing = resource_create("routing", "r", 1, spec);
	struct resource *res = resource_create("service", "s", 2, none);

	reset();
	set = route_set_create(res, routing, "a", 1);
	resource_free(routing);
	resource_free(res);
}

static struct target *
find(const char *name)
{
	for (int i = 0; i < n_targets; i++) {
		if (strcmp(targets[i]->name, name) == 0)
			return (targets[i]);
	}
	return (NULL);
}

/* target NAME DOMAIN: adds one whose evidence is good until 1000000 ms */
static void
exec_target(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);
	struct target *t;

	t = target_create(w[0], "http://x", w[1], (uint64_t)n_targets + 1, 0);
	target_update_evidence(t, 1, true, 1000000);
	g_ptr_array_add(set->targets, t);
	targets[n_targets++] = target_ref(t);
}

/* set NAME [inflight=N] [latency_us=N now=MS] [report=N at=MS] [retire=1] */
static void
exec_set(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);
	struct target *t = find(w[0]);
	guint64 now = script_number(rest, "now", 0);

	if (script_number(rest, "inflight", 1000) != 1000)
		atomic_store(&t->inflight,
		    (unsigned)script_number(rest, "inflight", 0));
	if (script_number(rest, "latency_us", 0) != 0)
		target_note_success(t, script_number(rest, "latency_us", 0),
		    now);
	if (script_number(rest, "at", 0) != 0)
		target_update_load(t, script_number(rest, "at", 0),
		    (uint32_t)script_number(rest, "report", 0));
	if (script_number(rest, "retire", 0) != 0)
		target_retire(t);
	route_set_update_median(set);
}

/* fail NAME now=MS: a call to it failed */
static void
exec_fail(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);

	target_note_failure(find(w[0]), script_number(rest, "now", 0));
}

/* evidence NAME seen=MS good=0|1 limit=MS */
static void
exec_evidence(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);

	target_update_evidence(find(w[0]), script_number(rest, "seen", 0),
	    script_number(rest, "good", 0) != 0,
	    script_number(rest, "limit", 0));
}

static unsigned
percent(unsigned part, guint64 n)
{
	return (n > 0 ? (unsigned)(part * 100 / n) : 0);
}

/* share now=MS [prefix=N] [n=N]: of n choices, how many each target got */
static void
exec_share(const char *rest, GString *out)
{
	unsigned counts[TARGETS_MAX] = { 0 }, none = 0;
	guint64 n = MAX(script_number(rest, "n", 1000), 1);

	for (guint64 i = 0; i < n; i++) {
		struct route_request rr = {
			.prefix = script_number(rest, "prefix", 0),
			.random = route_mix(i),
		};
		const struct route_policy *policy;
		struct target *t = route_set_choose(set, &rr, NULL,
		    script_number(rest, "now", 0), &policy);

		for (int k = 0; k < n_targets; k++)
			counts[k] += t == targets[k];
		none += t == NULL;
		if (t != NULL)
			target_unref(t);
	}
	for (int k = 0; k < n_targets; k++)
		g_string_append_printf(out, "%s %u%%\n", targets[k]->name,
		    percent(counts[k], n));
	if (none > 0)
		g_string_append_printf(out, "none %u%%\n", percent(none, n));
}

static const struct script_command commands[] = {
	{ "policy", exec_policy },
	{ "target", exec_target },
	{ "set", exec_set },
	{ "evidence", exec_evidence },
	{ "fail", exec_fail },
	{ "share", exec_share },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("route", commands, reset);

	reset();
	return (rc);
}
