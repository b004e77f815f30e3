/* Scripts for the retry budget that all daemons share. */
#include "fwd-budget.h"
#include "script.h"

static struct fwd_budget budget;
static struct fwd_daemon_peak peak;
static const struct fwd_budget_rule rule = { 0.2, 100, 10000 };

static void
reset(void)
{
	budget = (struct fwd_budget){ 0 };
	peak = (struct fwd_daemon_peak){ 0 };
}

/* requests n=N at=MS */
static void
exec_requests(const char *rest, GString *out)
{
	guint64 n = script_number(rest, "n", 1);

	while (n-- > 0)
		fwd_budget_request(&budget, &rule,
		    script_number(rest, "at", 0));
}

/* retries n=N at=MS daemons=N: how many of N retries are granted */
static void
exec_retries(const char *rest, GString *out)
{
	guint64 n = script_number(rest, "n", 1);
	const struct fwd_budget_share share = {
		.daemons = (unsigned)script_number(rest, "daemons", 1)
	};
	unsigned granted = 0;

	while (n-- > 0)
		granted += fwd_budget_take(&budget, &rule, &share,
		    script_number(rest, "at", 0));
	g_string_append_printf(out, "granted %u\n", granted);
}

/*
 * fleet N requests=N slack=N: each of N daemons has requests in a window and
 * retries as often as it may; how much of the bound on all they use, in tenths
 */
static void
exec_fleet(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);
	guint64 requests = script_number(rest, "requests", 1);
	double slack = (double)script_number(rest, "slack", 0);
	const struct fwd_budget_rule fleet_rule = { 0.2, slack, 10000 };
	unsigned granted = 0;

	for (guint64 i = 0; i < n; i++) {
		const struct fwd_budget_share share = { (unsigned)n,
			fwd_budget_draw((uint32_t)i * 2654435761u, 100000) };
		struct fwd_budget one = { 0 };

		for (guint64 k = 0; k < requests; k++)
			fwd_budget_request(&one, &fleet_rule, 100000);
		while (fwd_budget_take(&one, &fleet_rule, &share, 100000))
			granted++;
	}
	g_string_append_printf(out, "%.1f of the bound\n",
	    granted / (fleet_rule.ratio * (double)(n * requests) + slack));
}

/* idle N max=N: idle connections that N daemons keep to an endpoint, in tenths
 * of those that it takes; a daemon keeps two at most */
static void
exec_idle(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);
	unsigned max = (unsigned)script_number(rest, "max", 0);
	unsigned sum = 0;

	for (guint64 i = 0; i < n; i++)
		sum += MIN(fwd_idle_share(max, (unsigned)n,
			       (uint32_t)i * 2654435761u, 7),
		    2);
	g_string_append_printf(out, "%u, %.1f of all\n", sum,
	    max > 0 ? (double)sum / max : 0.0);
}

/* alive n=N at=MS: daemons seen alive; prints how many share the slack */
static void
exec_alive(const char *rest, GString *out)
{
	g_string_append_printf(out, "shared by %u\n",
	    fwd_daemon_peak_update(&peak, (unsigned)script_number(rest, "n", 1),
		rule.window_ms, script_number(rest, "at", 0)));
}

static const struct script_command commands[] = {
	{ "requests", exec_requests },
	{ "retries", exec_retries },
	{ "fleet", exec_fleet },
	{ "idle", exec_idle },
	{ "alive", exec_alive },
	{ NULL, NULL },
};

int
main(void)
{
	return (script_main("budget", commands, reset));
}
