/* Commands of scripts on simulated fleets: heads that were left behind. */
#include <stdlib.h>
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
#define LEFT_MAX 100

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

/* Dissolves a group without its head. */
static void
leave_behind(struct left_heads *heads, const char *id, uint64_t now_ms)
{
	struct replica *r = replica_create("g1", "s", "m", 1);
	struct sockaddr_in any = { 0 };

	replica_add_member(r, id, &any);
	r->dissolve_reason = "member_silent";
	r->member_left_ms = now_ms;
	left_heads_note(heads, r, now_ms, STALL_MS);
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
 */
struct left_watch {
	uint64_t from_ms;
	uint64_t last_ms;
	uint64_t exposed_ms;
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

/*
 * left-behind NAME endpoint=ID ms=N [broken=MS]: the daemon is the placer and
 * has dissolved the endpoint's group without it. Its entry says after the time
 * "broken" that it was broken. Prints when all daemons avoid it, and how long
 * one might choose it meanwhile, on average.
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
	struct left_watch watch = { 0 };
	struct left_heads heads;

	left_heads_init(&heads);
	placer->mesh.self.placer = true;
	leave_behind(&heads, id, placer->mesh.now_ms);
	endpoint_warn_of_head(set_entry(placer, id, GROUP_OPEN),
	    placer->mesh.now_ms, AVOID_HEAD_MS);
	mesh_send(&placer->mesh);
	for (guint64 t = 0; t < ms; t += LOOK_MS) {
		if (t == broken)
			set_entry(placer, id, GROUP_BROKEN);
		if (t % PASS_MS == 0)
			left_heads_update(&heads, &placer->registry.fleet,
			    placer->mesh.now_ms);
		fleet_model_run(fleet_script_model, LOOK_MS);
		left_watch_look(&watch, id, t + LOOK_MS, t >= broken);
	}
	g_string_append_printf(out,
	    "avoided by all from %u ms on, last at %u ms; chosen for %u ms; "
	    "%u left\n",
	    (unsigned)watch.from_ms, (unsigned)watch.last_ms,
	    (unsigned)(watch.exposed_ms / fleet_script_model->n), heads.n);
	left_heads_clear(&heads);
}

/* leave-many N: a placer leaves that many heads behind at once; prints how many
 * it keeps */
void
fleet_script_leave_many(const char *rest, GString *out)
{
	struct left_heads heads;

	left_heads_init(&heads);
	for (unsigned i = 0; i < MIN(strtoul(rest, NULL, 10), LEFT_MAX); i++) {
		g_autofree char *id = g_strdup_printf("e%u", i);

		leave_behind(&heads, id, 1);
		leave_behind(&heads, id, 1);
	}
	g_string_append_printf(out, "%u kept, the first is %s\n", heads.n,
	    TAILQ_FIRST(&heads.list)->id);
	left_heads_clear(&heads);
}
