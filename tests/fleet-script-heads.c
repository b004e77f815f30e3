/* Commands of scripts on simulated fleets: heads that were left behind. */
#include <string.h>

#include "fleet-script.h"
#include "placer-left-heads.h"

/* Time between two passes of a placer. */
#define PASS_MS 300
/* Time between two looks at all daemons. */
#define LOOK_MS 50
#define STALL_MS 5000
/* How long the placer itself avoids a head after its first warning. */
#define AVOID_HEAD_MS 2500

/* Sets what the entry of an endpoint says, as a daemon knows it. */
static struct endpoint *
set_entry(struct model_daemon *daemon, const char *id, enum group_state state)
{
	struct endpoint *ep = fleet_find(&daemon->registry.fleet, id);

	g_free(ep->report.group);
	ep->report.group = g_strdup("g1");
	ep->report.epoch = 1;
	ep->report.state = state;
	return (ep);
}

/* Notes the head of a group that is dissolved without it, as in each pass from
 * then on. */
static void
leave_behind(struct left_heads *heads, const struct fleet *fleet,
    const char *id, uint64_t since_ms, uint64_t now_ms)
{
	struct replica *r = replica_create("g1", "s", "m", 1);
	struct sockaddr_in any = { 0 };

	replica_add_member(r, id, &any);
	r->dissolve_reason = "member_silent";
	r->member_left_ms = since_ms;
	left_heads_note(heads, r, fleet, now_ms, STALL_MS);
	replica_free(r);
}

/* Number of daemons that may choose an endpoint. */
static unsigned
count_choosing(const char *id)
{
	unsigned n = 0;

	for (unsigned i = 0; i < fleet_script_model->n; i++) {
		const struct model_daemon *daemon =
		    &fleet_script_model->daemons[i];
		const struct endpoint *ep =
		    fleet_find(&daemon->registry.fleet, id);

		n += daemon->up && endpoint_usable(ep, daemon->mesh.now_ms);
	}
	return (n);
}

/**
 * struct left_watch - what is seen of the daemons that avoid a head.
 * @from_ms: from when on all avoid it, in ms after it was left behind
 * @last_ms: when all last avoided it
 * @exposed_ms: time that daemons might choose it, from @from_ms until it is
 *	broken, summed over the daemons
 * @noted: how often the head was noted
 */
struct left_watch {
	uint64_t from_ms;
	uint64_t last_ms;
	uint64_t exposed_ms;
	unsigned noted;
};

/* Looks at all daemons. */
static void
left_watch_look(struct left_watch *watch, const char *id, uint64_t ms,
    bool broken)
{
	unsigned n = count_choosing(id);

	if (n == 0 && watch->from_ms == 0)
		watch->from_ms = ms;
	if (n == 0)
		watch->last_ms = ms;
	if (watch->from_ms != 0 && !broken)
		watch->exposed_ms += (uint64_t)n * LOOK_MS;
}

/* Runs one pass of a placer whose group is still being dissolved; counts how
 * often the head is noted anew. */
static void
run_pass(struct left_heads *heads, const struct model_daemon *placer,
    const char *id, uint64_t since_ms, struct left_watch *watch)
{
	const struct fleet *fleet = &placer->registry.fleet;
	unsigned n = heads->n;

	leave_behind(heads, fleet, id, since_ms, placer->mesh.now_ms);
	watch->noted += heads->n > n;
	left_heads_update(heads, fleet, placer->mesh.now_ms);
}

/*
 * left-behind NAME endpoint=ID ms=N [broken=MS]: the daemon is the placer and
 * dissolves the endpoint's group without it. Its entry says after the time
 * "broken" that it was broken. Prints when all daemons avoid it, how long one
 * might choose it meanwhile, on average, and how often it was noted.
 */
void
fleet_script_left_behind(const char *rest, GString *out)
{
	g_autofree char *name = g_strndup(rest, strcspn(rest, " "));
	g_autofree char *id = script_word(rest, "endpoint");
	guint64 ms = script_number(rest, "ms", 0);
	guint64 broken = script_number(rest, "broken", ms);
	struct model_daemon *placer =
	    fleet_model_find(fleet_script_model, name);
	uint64_t since = placer->mesh.now_ms;
	struct left_watch watch = { 0 };
	struct left_heads heads;

	left_heads_init(&heads);
	placer->mesh.self.placer = true;
	endpoint_warn_of_head(set_entry(placer, id, GROUP_OPEN), since,
	    AVOID_HEAD_MS);
	mesh_send(&placer->mesh);
	for (guint64 t = 0; t < ms; t += LOOK_MS) {
		if (t == broken)
			set_entry(placer, id, GROUP_BROKEN);
		if (t % PASS_MS == 0)
			run_pass(&heads, placer, id, since, &watch);
		fleet_model_run(fleet_script_model, LOOK_MS);
		left_watch_look(&watch, id, t + LOOK_MS, t >= broken);
	}
	g_string_append_printf(out,
	    "avoided by all from %u ms on, last at %u ms; chosen for %u ms; "
	    "noted %u, left %u\n",
	    (unsigned)watch.from_ms, (unsigned)watch.last_ms,
	    (unsigned)(watch.exposed_ms / fleet_script_model->n), watch.noted,
	    heads.n);
	left_heads_clear(&heads);
}

/* leave-many NAME n=N: the daemon is the placer and leaves the first N
 * endpoints behind at once, for two passes; prints how many it keeps */
void
fleet_script_leave_many(const char *rest, GString *out)
{
	g_autofree char *name = g_strndup(rest, strcspn(rest, " "));
	guint64 n = script_number(rest, "n", 1);
	struct model_daemon *placer =
	    fleet_model_find(fleet_script_model, name);
	uint64_t now = placer->mesh.now_ms;
	struct left_heads heads;

	left_heads_init(&heads);
	for (guint64 i = 0; i < 2 * n; i++) {
		g_autofree char *id = g_strdup_printf("e%u", (unsigned)(i % n));

		set_entry(placer, id, GROUP_OPEN);
		leave_behind(&heads, &placer->registry.fleet, id, now, now);
	}
	g_string_append_printf(out, "%u kept, the first is %s\n", heads.n,
	    TAILQ_FIRST(&heads.list)->id);
	left_heads_clear(&heads);
}
