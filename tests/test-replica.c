/* Scripts over the life of a replica: joins, opening, loss, dissolution. */
#include <string.h>

#include "replica.h"
#include "script.h"

#define STALL_MS 5000

static struct replica *r;

static void
reset(void)
{
	g_clear_pointer(&r, replica_free);
}

/* new hosts=N [asked=0]: a recorded replica of h0, h1, ...; not told to open */
static void
exec_new(const char *rest, GString *out)
{
	guint64 n = script_number(rest, "hosts", 2);
	struct sockaddr_in any = { 0 };

	reset();
	r = replica_create("g1", "s", "m", 1);
	for (guint64 i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("h%d", (int)i);

		replica_add_member(r, id, &any);
	}
	r->recorded = script_number(rest, "recorded", 1) != 0;
	r->open_ordered = script_number(rest, "asked", 1) != 0;
	r->settled = script_number(rest, "settled", 0) != 0;
}

static struct replica_member *
member(const char *rest)
{
	return (&r->members[script_number(rest, "h", 0)]);
}

/* report h=N state=WORD: what the member reports of this group; "none" */
static void
exec_report(const char *rest, GString *out)
{
	static const char *const names[] = { "none", "joining", "ready", "open",
		"closing", "broken" };
	g_autofree char *state = script_word(rest, "state");
	struct replica_member *m = member(rest);

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], state) == 0)
			m->state = (enum group_state)i;
	}
	m->in_group = m->state != GROUP_NONE;
}

/* What a script says of a host's group; none without a word. */
static void
host_report(const char *rest, struct endpoint_report *report)
{
	report->group = script_word(rest, "group");
	report->epoch = (int64_t)script_number(rest, "epoch", 1);
	report->state = GROUP_READY;
}

/* entry h=N [group=G] [epoch=N] [lapsed=MS] at=MS; or at=MS none=1: what the
 * fleet knows of a host; nothing once its entry is gone and nobody holds it */
static void
exec_entry(const char *rest, GString *out)
{
	guint64 at = script_number(rest, "at", 0);
	struct endpoint ep = { .seen_ms = at,
		.lapsed_ms = script_number(rest, "lapsed", 0) };
	bool none = script_number(rest, "none", 0) != 0;

	host_report(rest, &ep.report);
	replica_member_refresh(r, member(rest), none ? NULL : &ep, at);
	g_free(ep.report.group);
}

/* told h=N [group=G] [epoch=N] at=MS: it answered a question with its report */
static void
exec_told(const char *rest, GString *out)
{
	struct endpoint_report report = { 0 };

	host_report(rest, &report);
	replica_member_set_answer(r, member(rest), &report,
	    script_number(rest, "at", 0));
	g_free(report.group);
}

/* life h=N is=WORD */
static void
exec_life(const char *rest, GString *out)
{
	static const char *const names[] = { "alive", "draining", "lapsed",
		"silent", "dead" };
	g_autofree char *is = script_word(rest, "is");

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], is) == 0)
			member(rest)->liveness = (enum member_liveness)i;
	}
}

/* elsewhere h=N: it reports a higher epoch */
static void
exec_elsewhere(const char *rest, GString *out)
{
	member(rest)->in_group = false;
	member(rest)->in_newer_group = true;
}

/* left h=N [at=MS]: it said that it is in no group; closed: the head said so */
static void
exec_left(const char *rest, GString *out)
{
	member(rest)->left = true;
	member(rest)->left_ms = script_number(rest, "at", 0);
}

/* late h=N until=MS: an order to join may be carried out until then */
static void
exec_late(const char *rest, GString *out)
{
	member(rest)->late_join_until_ms = script_number(rest, "until", 0);
}

/* inherit now=MS: another placer made the replica */
static void
exec_inherit(const char *rest, GString *out)
{
	replica_inherit(r, script_number(rest, "now", 0));
}

/* joined h=N, refused h=N: what it answered to an order to join */
static void
exec_joined(const char *rest, GString *out)
{
	member(rest)->joined = true;
	member(rest)->unverified = false;
}

static void
exec_refused(const char *rest, GString *out)
{
	member(rest)->join_fenced = true;
}

static void
exec_closed(const char *rest, GString *out)
{
	r->head_closed = true;
}

/* donate now=MS */
static void
exec_donate(const char *rest, GString *out)
{
	replica_donate(r, script_number(rest, "now", 0));
}

/* look now=MS: the steps until there is nothing more to do now */
static void
exec_look(const char *rest, GString *out)
{
	guint64 now = script_number(rest, "now", 0);
	struct replica_step step;

	for (unsigned turn = 0; turn <= r->n; turn++) {
		replica_next_step(r, now, STALL_MS, &step);
		if (step.action != REPLICA_ORDER)
			break;
		g_string_append_printf(out, "%s h%u\n",
		    order_kind_name(step.order), step.member);
		r->members[step.member].last_order = step.order;
		r->members[step.member].ordered_ms = now;
	}
	if (step.action == REPLICA_DISSOLVED)
		g_string_append(out, "gone\n");
	g_string_append_printf(out, "%s\n",
	    r->dissolve_reason != NULL ? r->dissolve_reason :
		r->opened	       ? "serves" :
					 "forms");
}

static const struct script_command commands[] = {
	{ "new", exec_new },
	{ "report", exec_report },
	{ "entry", exec_entry },
	{ "told", exec_told },
	{ "life", exec_life },
	{ "elsewhere", exec_elsewhere },
	{ "left", exec_left },
	{ "closed", exec_closed },
	{ "late", exec_late },
	{ "inherit", exec_inherit },
	{ "joined", exec_joined },
	{ "refused", exec_refused },
	{ "donate", exec_donate },
	{ "look", exec_look },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("replica", commands, reset);

	reset();
	return (rc);
}
