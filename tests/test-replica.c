/* Scripted tests of a replica's life cycle: joins, opening, loss of members,
 * dissolution. */
#include <string.h>

#include "placer.h"
#include "script.h"

#define STALL_MS 5000

static struct replica *r;
static struct replica_reach reach;

static void
reset(void)
{
	g_clear_pointer(&r, replica_free);
	memset(&reach, 0, sizeof reach);
}

/*
 * new hosts=N [recorded=0] [ordered=0] [settled=1]: a replica of h0, h1, ...;
 * without its record, its head never ordered to open, or settled
 */
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
	r->open_ordered = script_number(rest, "ordered", 1) != 0;
	r->settled = script_number(rest, "settled", 0) != 0;
}

static struct replica_member *
member(const char *rest)
{
	return (&r->members[script_number(rest, "h", 0)]);
}

/* report h=N state=WORD: the member reports this group in that state; "none"
 * for no group */
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

/* Reads a host's report from a command; without "group", it is in no group. */
static void
read_report(const char *rest, struct endpoint_report *report)
{
	report->group = script_word(rest, "group");
	report->epoch = (int64_t)script_number(rest, "epoch", 1);
	report->state = GROUP_READY;
}

/*
 * entry h=N [group=G] [epoch=N] [lapsed=MS [returns=1]] [gone=1] at=MS: the
 * endpoint that the fleet has of a host, whose entry may return after an outage
 * of the store; with none=1 it has none, as once the entry is gone and nothing
 * references the endpoint
 */
static void
exec_entry(const char *rest, GString *out)
{
	guint64 at = script_number(rest, "at", 0);
	struct endpoint ep = { .seen_ms = at,
		.lapsed_ms = script_number(rest, "lapsed", 0),
		.may_return = script_number(rest, "returns", 0) != 0,
		.gone = script_number(rest, "gone", 0) != 0 };
	bool none = script_number(rest, "none", 0) != 0;

	read_report(rest, &ep.report);
	replica_member_refresh(r, member(rest), none ? NULL : &ep, &reach, at);
	g_free(ep.report.group);
}

/* unheard h=N sent=MS: a query to the member, sent then, had no answer */
static void
exec_unheard(const char *rest, GString *out)
{
	replica_member_set_unheard(member(rest),
	    script_number(rest, "sent", 0));
}

/* sample asked=N answered=N at=MS: a sample of hosts was asked then */
static void
exec_sample(const char *rest, GString *out)
{
	replica_reach_note(&reach, (unsigned)script_number(rest, "asked", 0),
	    (unsigned)script_number(rest, "answered", 0),
	    script_number(rest, "at", 0));
	g_string_append(out, reach.lost ? "not reached\n" : "reached\n");
}

/* answered h=N [group=G] [epoch=N] at=MS: the member answered a query with this
 * report */
static void
exec_answered(const char *rest, GString *out)
{
	struct endpoint_report report = { 0 };

	read_report(rest, &report);
	replica_member_set_answer(r, member(rest), &report,
	    script_number(rest, "at", 0));
	g_free(report.group);
}

/* liveness h=N is=WORD: the member's liveness */
static void
exec_liveness(const char *rest, GString *out)
{
	static const char *const names[] = { "alive", "returning", "draining",
		"lapsed", "silent", "dead" };
	g_autofree char *is = script_word(rest, "is");

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], is) == 0)
			member(rest)->liveness = (enum member_liveness)i;
	}
}

/* newer-group h=N: the member reports a group with a higher epoch */
static void
exec_newer_group(const char *rest, GString *out)
{
	member(rest)->in_group = false;
	member(rest)->in_newer_group = true;
}

/* left h=N [at=MS] [sent=MS]: the member answered that it is in no group, to an
 * order sent then */
static void
exec_left(const char *rest, GString *out)
{
	member(rest)->left = true;
	member(rest)->left_ms = script_number(rest, "at", 0);
	member(rest)->left_after_ms =
	    script_number(rest, "sent", script_number(rest, "at", 0));
}

/* late-join h=N until=MS: an order to join may be carried out until then */
static void
exec_late_join(const char *rest, GString *out)
{
	member(rest)->late_join_until_ms = script_number(rest, "until", 0);
}

/* late-open until=MS: an order to open may be carried out until then */
static void
exec_late_open(const char *rest, GString *out)
{
	r->members[0].late_open_until_ms = script_number(rest, "until", 0);
}

/* inherit now=MS: the replica is taken over from a placer of a former version
 */
static void
exec_inherit(const char *rest, GString *out)
{
	replica_inherit(r, script_number(rest, "now", 0), false);
}

/* take-over now=MS [wrote=TERM] [lease=TERM]: the replica is taken over with
 * its record, written in one term, from the placer of another */
static void
exec_take_over(const char *rest, GString *out)
{
	int64_t wrote = (int64_t)script_number(rest, "wrote", 1);
	int64_t lease = (int64_t)script_number(rest, "lease", 1);
	size_t length;
	g_autofree guint8 *bytes = placer_encode_replica(r, wrote, &length);

	reset();
	r = placer_decode_replica("g1", bytes, length);
	replica_inherit(r, script_number(rest, "now", 0), r->term == lease);
	if (replica_record_outdated(r))
		g_string_append(out, "record\n");
}

/* decode JSON: prints the members that a record names, the head first */
static void
exec_decode(const char *rest, GString *out)
{
	struct replica *read = placer_decode_replica("g1", rest, strlen(rest));

	if (read == NULL) {
		g_string_append(out, "refused\n");
		return;
	}
	for (unsigned i = 0; i < read->n; i++)
		g_string_append_printf(out, "%s%s", i > 0 ? " " : "",
		    read->members[i].id);
	g_string_append_c(out, '\n');
	replica_free(read);
}

/* adopt now=MS [kept=0]: the group has no record and is taken over; whoever
 * removed the record did not keep it long enough */
static void
exec_adopt(const char *rest, GString *out)
{
	replica_adopt(r, script_number(rest, "now", 0),
	    script_number(rest, "kept", 1) != 0);
}

/* lease now=MS [taken=MS] [keeps=1]: prints the record of the lease if it is
 * written again after it was taken from a placer that kept its records, or not
 */
static void
exec_lease(const char *rest, GString *out)
{
	struct placer p = { .name = "d1",
		.term = 2,
		.taken_ms = script_number(rest, "taken", 0),
		.records_kept = script_number(rest, "keeps", 0) != 0 };
	bool keeps;

	p.pending = g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(p.pending, store_record_clear);
	placer_update_records_kept(&p, script_number(rest, "now", 0));
	for (guint i = 0; i < p.pending->len; i++) {
		const struct store_record *record =
		    &g_array_index(p.pending, struct store_record, i);
		int64_t term =
		    placer_decode_lease(record->value, record->length, &keeps);

		g_string_append_printf(out, "%s term=%d keeps=%d\n",
		    record->key, (int)term, keeps);
	}
	g_array_free(p.pending, TRUE);
}

/* joined h=N: the member accepted an order to join */
static void
exec_joined(const char *rest, GString *out)
{
	member(rest)->joined = true;
	member(rest)->unverified = false;
}

/* join-fenced h=N: the member refused to join because of a newer epoch */
static void
exec_join_fenced(const char *rest, GString *out)
{
	member(rest)->join_fenced = true;
}

/* closed: the head answered an order to close */
static void
exec_closed(const char *rest, GString *out)
{
	r->head_closed = true;
}

/* donate now=MS: the replica's hosts are needed by another */
static void
exec_donate(const char *rest, GString *out)
{
	replica_donate(r, script_number(rest, "now", 0));
}

/* queried: the ranks of the members whose answers still matter */
static void
exec_queried(const char *rest, GString *out)
{
	for (unsigned i = 0; i < r->n; i++) {
		if (replica_member_queried(r, i))
			g_string_append_printf(out, "h%u\n", i);
	}
}

/* written: its newest record is in the store */
static void
exec_written(const char *rest, GString *out)
{
	r->recorded = true;
}

/* step now=MS [written=0]: the orders until nothing more is to be done now,
 * then the state of the replica or the reason for which it is dissolved; a
 * record is written at once, or not yet */
static void
exec_step(const char *rest, GString *out)
{
	guint64 now = script_number(rest, "now", 0);
	bool written = script_number(rest, "written", 1) != 0;
	struct replica_step step;

	for (unsigned turn = 0; turn <= r->n + 1; turn++) {
		replica_next_step(r, now, STALL_MS, &step);
		if (step.action == REPLICA_WAIT && replica_settle(r, now)) {
			r->recorded = r->recorded || written;
			continue;
		}
		if (step.action != REPLICA_ORDER)
			break;
		g_string_append_printf(out, "%s h%u\n",
		    order_kind_name(step.order), step.member);
		r->members[step.member].last_order = step.order;
		r->members[step.member].ordered_ms = now;
	}
	if (step.action == REPLICA_DISSOLVED)
		g_string_append(out, "dissolved\n");
	g_string_append_printf(out, "%s\n",
	    r->dissolve_reason != NULL ? r->dissolve_reason :
		r->opened	       ? "serves" :
					 "forms");
}

static const struct script_command commands[] = {
	{ "new", exec_new },
	{ "report", exec_report },
	{ "entry", exec_entry },
	{ "unheard", exec_unheard },
	{ "sample", exec_sample },
	{ "answered", exec_answered },
	{ "liveness", exec_liveness },
	{ "newer-group", exec_newer_group },
	{ "left", exec_left },
	{ "closed", exec_closed },
	{ "late-join", exec_late_join },
	{ "late-open", exec_late_open },
	{ "inherit", exec_inherit },
	{ "take-over", exec_take_over },
	{ "decode", exec_decode },
	{ "adopt", exec_adopt },
	{ "lease", exec_lease },
	{ "joined", exec_joined },
	{ "join-fenced", exec_join_fenced },
	{ "donate", exec_donate },
	{ "queried", exec_queried },
	{ "written", exec_written },
	{ "step", exec_step },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("replica", commands, reset);

	reset();
	return (rc);
}
