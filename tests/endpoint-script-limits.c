/* Scripts on what endpoints ask for: backoffs, limits, drains and silence. */
#include <math.h>
#include <string.h>

#include "endpoint-script.h"

/* backoff ID asked=MS at=MS [most=MS]: an endpoint asks for a backoff */
void
endpoint_script_backoff(const char *rest, GString *out)
{
	g_autofree char *asked = script_word(rest, "asked");
	struct endpoint *ep = endpoint_script_find(rest);
	uint64_t ms = endpoint_backoff_normalize(g_ascii_strtod(asked, NULL),
	    script_number(rest, "most", 300000));

	endpoint_backoff_extend(&ep->backoff, ms, script_number(rest, "at", 0));
	g_string_append_printf(out, "until %llu\n",
	    (unsigned long long)ep->backoff.until_ms);
}

/*
 * limit ID names=PER_S at=MS [share=MILLI]: an endpoint names a limit; and this
 * daemon's share, in thousandths of a request a second
 */
void
endpoint_script_limit(const char *rest, GString *out)
{
	g_autofree char *names = script_word(rest, "names");
	struct endpoint_limit *limit = &endpoint_script_find(rest)->limit;
	uint64_t now = script_number(rest, "at", 0);
	double per_s =
	    endpoint_limit_normalize(g_ascii_strtod(names, NULL), limit);
	bool changed = endpoint_limit_set(limit, per_s, now);
	uint64_t share = script_number(rest, "share", 0);

	if (share > 0 && limit->share_per_s == 0)
		endpoint_limit_init_permits(limit, 0, now);
	endpoint_limit_set_share(limit, (double)share / 1000, now);
	g_string_append_printf(out, "%s, %g a second\n",
	    changed ? "changed" : "unchanged", limit->per_s);
}

/* unlimited ID sent=MS at=MS: a response to a request names no limit */
void
endpoint_script_unlimited(const char *rest, GString *out)
{
	struct endpoint_limit *limit = &endpoint_script_find(rest)->limit;

	if (endpoint_limit_superseded(limit, script_number(rest, "sent", 0)))
		endpoint_limit_clear(limit, script_number(rest, "at", 0));
	g_string_append(out, limit->named ? "active\n" : "none\n");
}

/* merge ID names=PER_S since=MS at=MS: a peer reports a limit, or none */
void
endpoint_script_merge(const char *rest, GString *out)
{
	g_autofree char *names = script_word(rest, "names");
	struct endpoint_limit *limit = &endpoint_script_find(rest)->limit;
	double per_s =
	    strcmp(names, "none") == 0 ? INFINITY : g_ascii_strtod(names, NULL);
	bool changed = endpoint_limit_merge(limit, per_s,
	    script_number(rest, "since", 0), script_number(rest, "at", 0));

	g_string_append_printf(out, "%s, ", changed ? "changed" : "unchanged");
	if (limit->named)
		g_string_append_printf(out, "%g a second\n", limit->per_s);
	else
		g_string_append(out, "none\n");
}

/* permit ID at=MS [ahead=N] [take=1]: time until a permit; take it */
void
endpoint_script_permit(const char *rest, GString *out)
{
	struct endpoint_limit *limit = &endpoint_script_find(rest)->limit;
	uint64_t now = script_number(rest, "at", 0);

	g_string_append_printf(out, "%.0f ms\n",
	    endpoint_limit_wait_ms(limit,
		(unsigned)script_number(rest, "ahead", 0), now));
	if (script_number(rest, "take", 0) != 0 &&
	    !endpoint_limit_take_permit(limit, now))
		g_string_append(out, "over the share\n");
}

/* return ID: nothing was sent of a request that took a permit */
void
endpoint_script_return(const char *rest, GString *out)
{
	endpoint_limit_return_permit(&endpoint_script_find(rest)->limit);
}

/* refused ID at=MS: an endpoint refuses a request and asks for no backoff */
void
endpoint_script_refused(const char *rest, GString *out)
{
	struct endpoint *ep = endpoint_script_find(rest);
	uint64_t ms = endpoint_backoff_refused(&ep->backoff);

	ep->cooldown_until_ms = script_number(rest, "at", 0) + ms;
	g_string_append_printf(out, "cooldown %llu\n", (unsigned long long)ms);
}

/* accepted ID: an endpoint answers a request that it did not refuse */
void
endpoint_script_accepted(const char *rest, GString *out)
{
	endpoint_backoff_accepted(&endpoint_script_find(rest)->backoff);
}

/* probe ID: a request is sent to an endpoint after a backoff */
void
endpoint_script_probe(const char *rest, GString *out)
{
	bool probe =
	    endpoint_backoff_begin_probe(&endpoint_script_find(rest)->backoff);

	g_string_append(out, probe ? "probe\n" : "no probe\n");
}

/* probed ID accepted=0|1: that request ends */
void
endpoint_script_probed(const char *rest, GString *out)
{
	endpoint_backoff_end_probe(&endpoint_script_find(rest)->backoff,
	    script_number(rest, "accepted", 0) != 0);
}

/* drain ID: an endpoint reports in a response that it is draining */
void
endpoint_script_drain(const char *rest, GString *out)
{
	endpoint_script_find(rest)->draining = true;
}

/* silent ID at=MS: an endpoint is found silent; heard ID at=MS [peer=1]: this
 * or another daemon hears from it */
void
endpoint_script_silent(const char *rest, GString *out)
{
	endpoint_script_find(rest)->warned_ms = script_number(rest, "at", 0);
}

void
endpoint_script_heard(const char *rest, GString *out)
{
	struct endpoint *ep = endpoint_script_find(rest);
	uint64_t at = script_number(rest, "at", 0);

	if (script_number(rest, "peer", 0) != 0)
		ep->peer_heard_ms = at;
	else
		ep->heard_ms = at;
}

/* connect ID at=MS objective=MS usable=N [plain=1]: how long a connection may
 * take, and whether other daemons are warned after that */
void
endpoint_script_connect(const char *rest, GString *out)
{
	g_string_append_printf(out, "%.0f ms, %s\n",
	    fwd_silence_connect_ms(script_number(rest, "plain", 0) != 0,
		(double)script_number(rest, "objective", 0),
		(unsigned)script_number(rest, "usable", 0)),
	    fwd_silence_unheard(endpoint_script_find(rest),
		script_number(rest, "at", 0)) ?
		"warn" :
		"don't warn");
}
