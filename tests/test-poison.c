/* Scripts over work that is suspected of ending endpoints. */
#include <string.h>

#include "registry-poison.h"
#include "fwd-work.h"
#include "script.h"

static uv_loop_t loop;
static struct fleet fleet;
static struct poison poison;
static uint64_t offset;

static void
reset(void)
{
	if (fleet.by_id != NULL) {
		fleet_clear(&fleet);
		poison_release(&poison);
	}
	fleet_init(&fleet, &loop);
	poison_init(&poison);
	offset = 0;
}

static uint64_t
work_of(const char *rest)
{
	return (g_ascii_strtoull(rest, NULL, 10));
}

/* entry ID at=MS [domain=NAME] [started=MS]: an endpoint's entry is read */
static void
exec_entry(const char *rest, GString *out)
{
	struct endpoint_report report = { 0 };

	report.id = g_strndup(rest, strcspn(rest, " "));
	report.service = g_strdup("s");
	report.domain = script_word(rest, "domain");
	report.staged = g_ptr_array_new_with_free_func(g_free);
	report.started_ms = (int64_t)script_number(rest, "started", 0);
	fleet_update(&fleet, &report, ++offset, script_number(rest, "at", 0));
}

static struct endpoint *
endpoint_of(const char *id)
{
	g_autofree char *name = g_strndup(id, strcspn(id, " "));

	return (fleet_find(&fleet, name));
}

/* lapse ID at=MS: its entry is removed */
static void
exec_lapse(const char *rest, GString *out)
{
	fleet_lapse(&fleet, endpoint_of(rest)->report.id,
	    script_number(rest, "at", 0), false);
}

/* heard ID at=MS [peer=1]: it sent something to this daemon, or to another */
static void
exec_heard(const char *rest, GString *out)
{
	struct endpoint *ep = endpoint_of(rest);

	if (script_number(rest, "peer", 0) != 0)
		ep->peer_heard_ms = script_number(rest, "at", 0);
	else
		ep->heard_ms = script_number(rest, "at", 0);
}

/* lost WORK endpoint=ID at=MS [silent=1] [told=1] [now=MS]: it ended under some
 * work; told of at another time */
static void
exec_lost(const char *rest, GString *out)
{
	g_autofree char *id = script_word(rest, "endpoint");
	uint64_t at = script_number(rest, "at", 0);
	uint64_t now = script_number(rest, "now", at);
	struct endpoint *ep = endpoint_of(id);
	struct poison_crash end =
	    poison_crash_of(ep, script_number(rest, "silent", 0) != 0, at);
	bool news;

	end.origin =
	    script_number(rest, "told", 0) != 0 ? POISON_REMOTE : POISON_LOCAL;
	news = end.origin == POISON_LOCAL ?
	    poison_observe_crash(&poison, work_of(rest), &end, now) :
	    poison_add_crash(&poison, work_of(rest), &end, now);
	g_string_append(out, news ? "news\n" : "nothing new\n");
}

/* changed WORK: when something of it was learned */
static void
exec_changed(const char *rest, GString *out)
{
	const struct poison_request *w = poison_find(&poison, work_of(rest));

	g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
	    w != NULL ? w->changed_ms : 0);
}

/* answered WORK at=MS: an endpoint gave its whole answer */
static void
exec_answered(const char *rest, GString *out)
{
	g_string_append(out,
	    poison_note_success(&poison, work_of(rest),
		script_number(rest, "at", 0)) ?
		"cleared\n" :
		"nothing new\n");
}

/* cleared WORK at=MS: another daemon says so of an answer of that time */
static void
exec_cleared(const char *rest, GString *out)
{
	uint64_t at = script_number(rest, "at", 0);

	g_string_append(out,
	    poison_clear(&poison, work_of(rest), at, POISON_REMOTE, at) ?
		"cleared\n" :
		"nothing new\n");
}

/* judge WORK at=MS: what is to become of it */
static void
exec_judge(const char *rest, GString *out)
{
	const struct poison_request *w = poison_find(&poison, work_of(rest));
	uint64_t now = script_number(rest, "at", 0);
	struct poison_verdict v;

	if (w == NULL) {
		g_string_append(out, "unknown\n");
		return;
	}
	poison_evaluate(&poison, &fleet, w, now, &v);
	g_string_append_printf(out, "ends %u doubted %u explained %u %s",
	    v.crashes, v.unconfirmed, v.explained,
	    v.until_ms != 0 ? "refused" : "sent");
	if (v.until_ms != 0)
		g_string_append_printf(out, " for %" G_GUINT64_FORMAT " s",
		    (v.until_ms - now) / 1000);
	if (v.probe_ms != 0 && now >= v.probe_ms)
		g_string_append(out, ", probed");
	g_string_append(out,
	    poison_may_retry(&poison, &fleet, work_of(rest), now) ?
		"\n" :
		", not repeated\n");
}

/* sweep at=MS: what was none or is old is forgotten */
static void
exec_sweep(const char *rest, GString *out)
{
	poison_sweep(&poison, &fleet, script_number(rest, "at", 0));
	g_string_append_printf(out, "%u works\n",
	    g_hash_table_size(poison.by_fingerprint));
}

/* flood N endpoint=ID at=MS: so many others ran on an endpoint that ended */
static void
exec_flood(const char *rest, GString *out)
{
	g_autofree char *id = script_word(rest, "endpoint");
	uint64_t n = work_of(rest), now = script_number(rest, "at", 0);
	const struct poison_crash end =
	    poison_crash_of(endpoint_of(id), false, now);

	for (uint64_t i = 0; i < n; i++)
		poison_observe_crash(&poison, 1000000 + i, &end, now);
	g_string_append_printf(out, "%u works\n",
	    g_hash_table_size(poison.by_fingerprint));
}

/* same METHOD HOST TARGET CUSTOMER BODY METHOD HOST TARGET CUSTOMER BODY:
 * whether two requests are the same work; - for none */
static void
exec_same(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 10);
	uint64_t work[2];

	for (int i = 0; i < 2; i++) {
		char **at = w + (ptrdiff_t)5 * i;
		const struct fwd_work_key key = {
			.method = at[0],
			.host = at[1],
			.target = at[2],
			.customer = strcmp(at[3], "-") == 0 ? NULL : at[3],
			.body = at[4],
			.length = strcmp(at[4], "-") == 0 ? 0 : strlen(at[4]),
		};

		work[i] = fwd_work_fingerprint(&key);
	}
	g_string_append(out, work[0] == work[1] ? "yes\n" : "no\n");
}

static const struct script_command commands[] = {
	{ "entry", exec_entry },
	{ "lapse", exec_lapse },
	{ "heard", exec_heard },
	{ "lost", exec_lost },
	{ "changed", exec_changed },
	{ "answered", exec_answered },
	{ "cleared", exec_cleared },
	{ "judge", exec_judge },
	{ "sweep", exec_sweep },
	{ "flood", exec_flood },
	{ "same", exec_same },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("poison", commands, reset);

	fleet_clear(&fleet);
	poison_release(&poison);
	return (rc);
}
