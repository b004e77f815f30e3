/* Scripted replays of load beyond the capacity, without and with levels. */
#include <string.h>

#include "levels-model.h"
#include "script.h"

#define WORTH_LATE 0.2

static void
reset(void)
{
}

static void
report(const struct replay *r, GString *out)
{
	double worth = 0, asked = 0;

	for (unsigned c = 0; c < CLASSES; c++) {
		const struct tally *t = &r->tally[c];

		asked += t->asked;
		worth += t->timely + WORTH_LATE * t->late +
		    (1 + WORTH_LATE) / 2 * t->timely_returned;
		if (t->asked > 0)
			g_string_append_printf(out,
			    "%s %s %u: asked %u in time %u after a "
			    "refusal %u late %u lost %u\n",
			    r->name, r->customers ? "customer" : "priority", c,
			    t->asked, t->timely, t->timely_returned, t->late,
			    t->lost);
	}
	g_string_append_printf(out,
	    "%s worth %.3f, refused from %.1f to %.1f s\n", r->name,
	    worth / asked, r->first_refusal / 1000, r->last_refusal / 1000);
}

/* Reads "A,B,..." after a name into numbers. */
static void
numbers(const char *rest, const char *name, double *values, unsigned n)
{
	g_autofree char *word = script_word(rest, name);
	g_auto(GStrv) words = g_strsplit(word != NULL ? word : "", ",", -1);

	for (unsigned i = 0; i < n && words[i] != NULL; i++)
		values[i] = g_ascii_strtod(words[i], NULL);
}

/*
 * replay daemons=N capacity=N rates=PER_S,... length=S
 * [burst=FROM,TO,CLASS,FACTOR] [cut=FROM,TO,PART] [wave=PERIOD,PART]
 * [slots=PERCENT-OF-CAPACITY] [immediate=1] [customers=1]: what becomes of the
 * requests without and with levels; classes are priorities, or customers of the
 * same priority
 */
static void
exec_replay(const char *rest, GString *out)
{
	static const char *const names[] = { "before", "levels", "schedule",
		"shares" };
	bool customers = script_number(rest, "customers", 0) != 0;

	for (unsigned mode = 0; mode < (customers ? 4 : 3); mode++) {
		struct replay r = { .name = names[mode],
			.levels = mode >= 1,
			.schedule = mode >= 2,
			.shares = mode == 3,
			.customers = customers };
		double burst[4] = { 0 }, cut[3] = { 0 }, wave[2] = { 0 };

		r.n_daemons = (unsigned)script_number(rest, "daemons", 100);
		r.capacity = (double)script_number(rest, "capacity", 500);
		r.length_ms = (double)script_number(rest, "length", 10) * 1000;
		r.immediate = script_number(rest, "immediate", 0) != 0;
		numbers(rest, "rates", r.rates, CLASSES);
		r.slots = (double)script_number(rest, "slots", 140) / 100;
		numbers(rest, "wave", wave, 2);
		r.wave_ms = wave[0] * 1000;
		r.wave = wave[1];
		numbers(rest, "burst", burst, 4);
		numbers(rest, "cut", cut, 3);
		r.burst_from = burst[0] * 1000;
		r.burst_to = burst[1] * 1000;
		r.burst_class = (unsigned)burst[2];
		r.burst_factor = burst[3];
		r.cut_from = cut[0] * 1000;
		r.cut_to = cut[1] * 1000;
		r.cut = cut[2];
		replay_run(&r);
		report(&r, out);
	}
}

static const struct script_command commands[] = {
	{ "replay", exec_replay },
	{ NULL, NULL },
};

int
main(void)
{
	return (script_main("levels", commands, reset));
}
