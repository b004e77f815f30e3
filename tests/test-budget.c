/* Scripts over the retry budget that all daemons share. */
#include "fwd-budget.h"
#include "script.h"

static struct fwd_budget budget;
static struct fwd_daemon_peak sharers;
static const struct fwd_budget_rule rule = { 0.2, 100, 10000 };

static void
reset(void)
{
	budget = (struct fwd_budget){ 0 };
	sharers = (struct fwd_daemon_peak){ 0 };
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

/* repeats n=N at=MS daemons=N: how many of N repeats are granted */
static void
exec_repeats(const char *rest, GString *out)
{
	guint64 n = script_number(rest, "n", 1);
	unsigned granted = 0;

	while (n-- > 0)
		granted += fwd_budget_take(&budget, &rule,
		    (unsigned)script_number(rest, "daemons", 1),
		    script_number(rest, "at", 0));
	g_string_append_printf(out, "granted %u\n", granted);
}

/* living n=N at=MS: daemons that are seen, and among how many the slack goes */
static void
exec_living(const char *rest, GString *out)
{
	g_string_append_printf(out, "shared by %u\n",
	    fwd_daemon_peak_update(&sharers,
		(unsigned)script_number(rest, "n", 1), rule.window_ms,
		script_number(rest, "at", 0)));
}

static const struct script_command commands[] = {
	{ "requests", exec_requests },
	{ "repeats", exec_repeats },
	{ "living", exec_living },
	{ NULL, NULL },
};

int
main(void)
{
	return (script_main("budget", commands, reset));
}
