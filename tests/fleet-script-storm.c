/* Commands of scripts on simulated fleets: random faults. */
#include <string.h>

#include "fleet-script.h"

/* Causes one randomly drawn fault. */
static void
storm_fault(GRand *draw)
{
	unsigned at =
	    (unsigned)g_rand_int_range(draw, 0, (int)fleet_script_model->n);
	unsigned a = (unsigned)g_rand_int_range(draw, 0,
	    (int)fleet_script_model->n_domains);
	unsigned b = (unsigned)g_rand_int_range(draw, 0,
	    (int)fleet_script_model->n_domains);

	switch (g_rand_int_range(draw, 0, 4)) {
	case 0:
		fleet_model_stop(fleet_script_model, at);
		break;
	case 1:
		if (!fleet_script_model->daemons[at].up)
			fleet_model_start(fleet_script_model, at, 1);
		break;
	case 2:
		fleet_script_model->cut[a][b] = a != b;
		break;
	case 3:
		fleet_script_model->loss =
		    (unsigned)g_rand_int_range(draw, 0, 200);
		break;
	}
}

/* Removes all faults and starts all daemons. */
static void
storm_heal(void)
{
	memset(fleet_script_model->cut, 0, sizeof fleet_script_model->cut);
	fleet_script_model->loss = 0;
	for (unsigned i = 0; i < fleet_script_model->n; i++) {
		if (!fleet_script_model->daemons[i].up)
			fleet_model_start(fleet_script_model, i, 1 + i % 100);
	}
}

/* Whether all daemons have the same view. */
static bool
storm_agreed(void)
{
	struct model_stats s;

	fleet_model_measure(fleet_script_model, &s);
	return (s.alive_min == fleet_script_model->n &&
	    s.alive_max == fleet_script_model->n && s.readers == 1);
}

/*
 * storm from=SEED to=SEED: fleets of 5 to 80 daemons, each with ten seconds of
 * faults; prints the seeds after which the daemons do not agree within eight
 * seconds
 */
void
fleet_script_storm(const char *rest, GString *out)
{
	guint64 to = script_number(rest, "to", 1);
	unsigned failed = 0;

	for (guint64 seed = script_number(rest, "from", 1); seed <= to;
	     seed++) {
		GRand *draw = g_rand_new_with_seed((guint32)seed);

		fleet_script_reset();
		fleet_script_model =
		    fleet_model_new((unsigned)g_rand_int_range(draw, 5, 81),
			(unsigned)g_rand_int_range(draw, 1, 6), 4, seed);
		fleet_model_run(fleet_script_model, 2000);
		for (unsigned i = 0; i < 20; i++) {
			storm_fault(draw);
			fleet_model_run(fleet_script_model, 500);
		}
		storm_heal();
		fleet_model_run(fleet_script_model, 8000);
		if (!storm_agreed()) {
			g_string_append_printf(out,
			    "seed %u of %u daemons: ", (unsigned)seed,
			    fleet_script_model->n);
			fleet_script_views("", out);
			failed++;
		}
		g_rand_free(draw);
	}
	g_string_append_printf(out, "%u failed\n", failed);
}
