/* Scripted replays of many daemons that choose among replicas. */
#include <stdlib.h>
#include <string.h>
#include <syslog.h>

#include "balance-model.h"
#include "event-log.h"
#include "script.h"

static struct balance_model *balance;

static void
reset(void)
{
	g_clear_pointer(&balance, balance_model_free);
}

/*
 * model daemons=N replicas=N rate=PER_S age=MS period=MS [prompt=N]
 * [response=N] [seed=N] [excess=PERCENT] [spread=1] [domains=1]
 */
static void
exec_model(const char *rest, GString *out)
{
	struct balance_setup setup = { 0 };

	setup.daemons = (unsigned)script_number(rest, "daemons", 1);
	setup.replicas = (unsigned)script_number(rest, "replicas", 1);
	setup.seed = (unsigned)script_number(rest, "seed", 0);
	setup.excess = (unsigned)script_number(rest, "excess", 0);
	setup.rate = (double)script_number(rest, "rate", 1);
	setup.prompt = (double)script_number(rest, "prompt", 674);
	setup.response = (double)script_number(rest, "response", 115);
	setup.age_min_ms = script_number(rest, "age", 0);
	setup.period_ms = script_number(rest, "period", 100);
	setup.spread = script_number(rest, "spread", 0) != 0;
	setup.domains = script_number(rest, "domains", 0) != 0;
	reset();
	balance = balance_model_new(&setup);
}

/* close K, open K: a replica ends or begins to serve */
static void
exec_close(const char *rest, GString *out)
{
	balance_model_set_open(balance, (unsigned)atoi(rest), false);
}

static void
exec_open(const char *rest, GString *out)
{
	balance_model_set_open(balance, (unsigned)atoi(rest), true);
}

/* cut [DOMAIN]: a failure domain is cut off, or none */
static void
exec_cut(const char *rest, GString *out)
{
	static char domain[2];

	g_strlcpy(domain, rest, sizeof domain);
	balance_model_cut(balance, *rest != '\0' ? domain : NULL);
}

/* rate PER_S: requests per second from now on */
static void
exec_rate(const char *rest, GString *out)
{
	balance->setup.rate = atoi(rest);
}

/* domains: part of the requests of each failure domain served in time, in
 * percent */
static void
exec_domains(const char *rest, GString *out)
{
	static const char *const names[] = { "a", "b", "c" };

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		unsigned asked, in_time;

		in_time = balance_model_in_time(balance, names[i], &asked);
		g_string_append_printf(out, "%s%s %.1f", i > 0 ? " " : "",
		    names[i], 100.0 * in_time / MAX(asked, 1));
	}
	g_string_append_c(out, '\n');
}

/* slow K by=PERCENT: factor on the times of a replica */
static void
exec_slow(const char *rest, GString *out)
{
	balance->replicas[atoi(rest)].slow =
	    (double)script_number(rest, "by", 100) / 100;
}

/* run MS: forgets what was measured, then simulates */
static void
exec_run(const char *rest, GString *out)
{
	balance_model_reset(balance);
	balance_model_run(balance, (uint64_t)atoi(rest));
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return ((x > y) - (x < y));
}

/*
 * show [at=K]: 90th percentiles of the time to the first event, at replica K
 * and of the median and the worst replica; requests refused, sent to another
 * failure domain, served late and in time; the largest load over the mean load,
 * on average and at most
 */
static void
exec_show(const char *rest, GString *out)
{
	unsigned n = balance->setup.replicas, served = 0, asked;
	unsigned in_time = balance_model_in_time(balance, NULL, &asked);
	g_autofree double *first = g_new(double, n);

	for (unsigned k = 0; k < n; k++) {
		first[k] = balance_model_first(balance, k, 0.9);
		served += balance->replicas[k].first_ms->len;
	}
	if (strstr(rest, "at=") != NULL)
		g_string_append_printf(out, "at it %.0f ",
		    first[script_number(rest, "at", 0)]);
	qsort(first, n, sizeof *first, compare_doubles);
	g_string_append_printf(out,
	    "median %.0f worst %.0f refused %u crossed %u late %u in time %u load mean "
	    "%.2f most %.2f\n",
	    first[n / 2], first[n - 1], balance->refused, balance->crossed,
	    served - in_time, in_time, balance->skew / MAX(balance->samples, 1),
	    balance->skew_max);
}

static const struct script_command commands[] = {
	{ "model", exec_model },
	{ "close", exec_close },
	{ "open", exec_open },
	{ "cut", exec_cut },
	{ "rate", exec_rate },
	{ "domains", exec_domains },
	{ "slow", exec_slow },
	{ "run", exec_run },
	{ "show", exec_show },
	{ NULL, NULL },
};

int
main(void)
{
	int rc;

	event_log_open("test-balance", LOG_WARNING);
	rc = script_main("balance", commands, reset);
	reset();
	return (rc);
}
