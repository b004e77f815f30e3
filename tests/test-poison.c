/* Scripted tests of requests that are suspected of crashing endpoints. */
#include <string.h>

#include "registry-poison.h"
#include "fwd-fingerprint.h"
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

/* Fingerprints of parts, which a script names p1, p2 and so on. */
#define FIRST_PART (UINT64_C(1) << 32)

static struct poison_key
key_of(const char *rest)
{
	bool part = rest[0] == 'p';
	uint64_t number = g_ascii_strtoull(rest + (part ? 1 : 0), NULL, 10);

	return ((struct poison_key){ number + (part ? FIRST_PART : 0), part });
}

static uint64_t
fingerprint_of(const char *rest)
{
	return (key_of(rest).fingerprint);
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

/* lapse ID at=MS: an endpoint's entry is removed */
static void
exec_lapse(const char *rest, GString *out)
{
	fleet_lapse(&fleet, endpoint_of(rest)->report.id, ++offset,
	    script_number(rest, "at", 0), false);
}

/* heard ID at=MS [peer=1]: an endpoint sends bytes here, or to a peer */
static void
exec_heard(const char *rest, GString *out)
{
	struct endpoint *ep = endpoint_of(rest);

	if (script_number(rest, "peer", 0) != 0)
		ep->peer_heard_ms = script_number(rest, "at", 0);
	else
		ep->heard_ms = script_number(rest, "at", 0);
}

/* conns ID n=N: this daemon has connections to an endpoint */
static void
exec_conns(const char *rest, GString *out)
{
	endpoint_of(rest)->pool.n_open = (unsigned)script_number(rest, "n", 0);
}

/* reset ID at=MS: a connection to an endpoint is reset, whether it has a
 * request or not */
static void
exec_reset(const char *rest, GString *out)
{
	endpoint_of(rest)->pool.path.reset_ms = script_number(rest, "at", 0);
}

/*
 * crash REQUEST endpoint=ID at=MS [sent=MS] [silent=1] [remote=1] [now=MS]: an
 * endpoint ended while it ran a request that was sent then; reported by another
 * daemon; reported then
 */
static void
exec_crash(const char *rest, GString *out)
{
	g_autofree char *id = script_word(rest, "endpoint");
	uint64_t at = script_number(rest, "at", 0);
	uint64_t now = script_number(rest, "now", at);
	struct endpoint *ep = endpoint_of(id);
	struct poison_crash crash =
	    poison_crash_of(ep, script_number(rest, "silent", 0) != 0, at);
	const struct poison_key key = key_of(rest);
	bool changed;

	crash.sent_ms = script_number(rest, "sent", 0);
	crash.origin = script_number(rest, "remote", 0) != 0 ? POISON_REMOTE :
							       POISON_LOCAL;
	changed = crash.origin == POISON_LOCAL ?
	    poison_observe_crash(&poison, &key, &crash, now) :
	    poison_add_crash(&poison, &key, &crash, now);
	g_string_append(out, changed ? "added\n" : "no change\n");
}

/* told REQUEST at=MS: how many of its crashes other daemons are told of */
static void
exec_told(const char *rest, GString *out)
{
	const struct poison_suspect *suspect =
	    poison_find(&poison, fingerprint_of(rest));
	unsigned told = 0;

	poison_judge(&poison, &fleet, script_number(rest, "at", 0));
	for (unsigned i = 0; i < suspect->n_crashes; i++)
		told +=
		    poison_crash_told(&fleet, suspect, &suspect->crashes[i]);
	g_string_append_printf(out, "%u of %u\n", told, suspect->n_crashes);
}

/* changed REQUEST: when its record last changed */
static void
exec_changed(const char *rest, GString *out)
{
	const struct poison_suspect *suspect =
	    poison_find(&poison, fingerprint_of(rest));

	g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n",
	    suspect != NULL ? suspect->changed_ms : 0);
}

/* answered REQUEST at=MS: an endpoint completed it */
static void
exec_answered(const char *rest, GString *out)
{
	g_string_append(out,
	    poison_note_success(&poison, fingerprint_of(rest),
		script_number(rest, "at", 0)) ?
		"cleared\n" :
		"no change\n");
}

/* cleared REQUEST at=MS: a peer reports that it completed at that time */
static void
exec_cleared(const char *rest, GString *out)
{
	uint64_t at = script_number(rest, "at", 0);

	g_string_append(out,
	    poison_clear(&poison, fingerprint_of(rest), at, POISON_REMOTE, at) ?
		"cleared\n" :
		"no change\n");
}

/* evaluate REQUEST at=MS: whether it is quarantined, and why */
static void
exec_evaluate(const char *rest, GString *out)
{
	const struct poison_suspect *suspect =
	    poison_find(&poison, fingerprint_of(rest));
	uint64_t now = script_number(rest, "at", 0);
	const struct poison_keys keys = { { key_of(rest) }, 1 };
	struct poison_verdict v;

	if (suspect == NULL) {
		g_string_append(out, "unknown\n");
		return;
	}
	poison_evaluate(&poison, &fleet, suspect, &keys, now, &v);
	g_string_append_printf(out, "crashes %u unconfirmed %u explained %u %s",
	    v.crashes, v.unconfirmed, v.explained,
	    v.until_ms != 0 ? "refused" : "sent");
	if (v.until_ms != 0)
		g_string_append_printf(out, " for %" G_GUINT64_FORMAT " s",
		    (v.until_ms - now) / 1000);
	if (v.probe_ms != 0 && now >= v.probe_ms)
		g_string_append(out, ", probed");
	g_string_append(out,
	    poison_may_retry(&poison, &fleet, &keys, now) ? "\n" :
							    ", not retried\n");
}

/*
 * judge KEY,KEY,... at=MS: what is done with a request that has these, and
 * which of them decides
 */
static void
exec_judge(const char *rest, GString *out)
{
	g_autofree char *list = g_strndup(rest, strcspn(rest, " "));
	g_auto(GStrv) names = g_strsplit(list, ",", POISON_KEYS_MAX);
	uint64_t now = script_number(rest, "at", 0);
	struct poison_decision decision;
	struct poison_keys keys = { .n = 0 };

	for (; names[keys.n] != NULL; keys.n++)
		keys.key[keys.n] = key_of(names[keys.n]);
	poison_decide(&poison, &fleet, &keys, now, &decision);
	if (decision.action == POISON_SEND)
		g_string_append(out, "sent");
	else
		g_string_append_printf(out, "%s for %s%u",
		    decision.action == POISON_QUARANTINED ? "refused" :
							    "ambiguous",
		    decision.suspect->part ? "p" : "",
		    (unsigned)decision.suspect->fingerprint);
	if (decision.verdict.probe_ms != 0 && now >= decision.verdict.probe_ms)
		g_string_append(out, ", probed");
	g_string_append(out,
	    poison_may_retry(&poison, &fleet, &keys, now) ? "\n" :
							    ", not retried\n");
}

/* alone KEY at=MS: whether it is quarantined by itself */
static void
exec_alone(const char *rest, GString *out)
{
	struct poison_verdict v;

	poison_evaluate(&poison, &fleet,
	    poison_find(&poison, fingerprint_of(rest)), NULL,
	    script_number(rest, "at", 0), &v);
	g_string_append(out, v.until_ms != 0 ? "quarantined\n" : "no\n");
}

/* sweep at=MS: drops crashes that are refuted or old */
static void
exec_sweep(const char *rest, GString *out)
{
	poison_sweep(&poison, &fleet, script_number(rest, "at", 0));
	g_string_append_printf(out, "%u requests\n",
	    g_hash_table_size(poison.by_fingerprint));
}

/* flood N endpoint=ID at=MS: N other requests ran when an endpoint crashed */
static void
exec_flood(const char *rest, GString *out)
{
	g_autofree char *id = script_word(rest, "endpoint");
	uint64_t n = fingerprint_of(rest), now = script_number(rest, "at", 0);
	const struct poison_crash crash =
	    poison_crash_of(endpoint_of(id), false, now);

	for (uint64_t i = 0; i < n; i++) {
		const struct poison_key key = { 1000000 + i, false };

		poison_observe_crash(&poison, &key, &crash, now);
	}
	g_string_append_printf(out, "%u requests\n",
	    g_hash_table_size(poison.by_fingerprint));
}

/* same METHOD HOST TARGET CUSTOMER BODY METHOD HOST TARGET CUSTOMER BODY:
 * whether two requests have the same fingerprint; - for none */
static void
exec_same(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", 10);
	uint64_t fingerprint[2];

	for (int i = 0; i < 2; i++) {
		char **at = words + (ptrdiff_t)5 * i;
		const struct fwd_fingerprint_input key = {
			.method = at[0],
			.host = at[1],
			.target = at[2],
			.customer = strcmp(at[3], "-") == 0 ? NULL : at[3],
			.body = at[4],
			.length = strcmp(at[4], "-") == 0 ? 0 : strlen(at[4]),
		};

		fingerprint[i] = fwd_fingerprint_compute(&key);
	}
	g_string_append(out,
	    fingerprint[0] == fingerprint[1] ? "yes\n" : "no\n");
}

static const struct script_command commands[] = {
	{ "entry", exec_entry },
	{ "lapse", exec_lapse },
	{ "heard", exec_heard },
	{ "conns", exec_conns },
	{ "reset", exec_reset },
	{ "crash", exec_crash },
	{ "told", exec_told },
	{ "changed", exec_changed },
	{ "answered", exec_answered },
	{ "cleared", exec_cleared },
	{ "evaluate", exec_evaluate },
	{ "judge", exec_judge },
	{ "alone", exec_alone },
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
