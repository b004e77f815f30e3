/* Samples of the demand in scripted tests of the planner. */
#include <math.h>
#include <string.h>

#include "fwd-demand.h"
#include "planner-samples.h"
#include "script.h"

static struct planner_demand demand;
static struct planner_peak peak;
static bool use_peak;
static uint64_t sampled_ms;
static struct fleet_sums sums;

/**
 * planner_samples_reset() - forget all samples and the bound.
 */
void
planner_samples_reset(void)
{
	memset(&demand, 0, sizeof demand);
	memset(&peak, 0, sizeof peak);
	use_peak = false;
	sampled_ms = 0;
	memset(&sums, 0, sizeof sums);
}

/**
 * planner_samples_use_peaks() - judge the demand by its peaks from now on.
 */
void
planner_samples_use_peaks(void)
{
	use_peak = true;
}

/**
 * planner_samples_apply() - apply the demand to a view.
 * @view: the view; its hosts have been counted
 */
void
planner_samples_apply(struct planner_view *view)
{
	view->largest_max = demand.largest_max;
	if (use_peak)
		planner_peak_apply(&peak, &demand.largest_max, view,
		    sampled_ms);
}

/* Whether a view has no replicas. */
static bool
view_is_empty(const struct planner_view *view)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < PLANNER_MODELS_MAX; i++)
		sum += view->replicas[i];
	return (sum == 0);
}

/* Adds the replicas of a sample to a view. */
static void
view_add_sampled(struct planner_view *view, const struct demand_sample *samples)
{
	for (unsigned i = 0; i < PLANNER_MODELS_MAX; i++)
		view->replicas[i] = samples[i].unlimited + samples[i].limited;
}

/* Updates the demand and the bound on the largest model. */
static void
demand_add(struct demand_sample *samples, uint64_t at)
{
	struct planner_view view;

	planner_script_view(&view);
	planner_demand_add_sums(samples, &view, "s", &sums);
	sampled_ms = at;
	if (view_is_empty(&view))
		view_add_sampled(&view, samples);
	if (use_peak) {
		planner_peak_update(&peak, &view, samples, at);
		planner_peak_apply(&peak, &demand.largest_max, &view, at);
	} else {
		planner_demand_update(&demand, &view, samples, at);
		planner_demand_apply(&demand, &view, at);
	}
	planner_view_clear(&view);
}

/**
 * planner_samples_exec() - run the command "sample".
 * @rest: its arguments
 * @out: gets the output
 *
 * sample big=N small=N from=MS to=MS [unlimited=N limited=N smalls=N
 * swing=PERCENT period=MS refused=N slow=N]: requests of the first two models
 * that run during this time. Of the first model's replicas, "unlimited" have no
 * rate limit and run its requests, and "limited" have one; the second model has
 * "smalls" replicas without and "slow" ones with a limit, and refuses so many
 * requests per second. The numbers rise
 * and fall in a wave of that period, by so much. Prints each change of the
 * bound on the largest model.
 */
void
planner_samples_exec(const char *rest, GString *out)
{
	struct demand_sample samples[PLANNER_MODELS_MAX] = { 0 };
	double swing = (double)script_number(rest, "swing", 0) / 100;
	double period = (double)script_number(rest, "period", 10000);

	samples[0].unlimited = (unsigned)script_number(rest, "unlimited", 1);
	samples[0].limited = (unsigned)script_number(rest, "limited", 0);
	samples[1].unlimited = (unsigned)script_number(rest, "smalls", 1);
	samples[1].limited = (unsigned)script_number(rest, "slow", 0);
	samples[1].refused = (double)script_number(rest, "refused", 0);
	for (guint64 at = script_number(rest, "from", 0);
	     at <= script_number(rest, "to", 0); at += 250) {
		double factor = 1 + swing * sin(2 * G_PI * (double)at / period);
		unsigned bound = demand.largest_max;

		samples[0].running =
		    factor * (double)script_number(rest, "big", 0);
		samples[1].running =
		    factor * (double)script_number(rest, "small", 0);
		demand_add(samples, at);
		if (demand.largest_max != bound)
			g_string_append_printf(out, "at %u bound %u\n",
			    (unsigned)at, demand.largest_max);
	}
}

/**
 * planner_samples_exec_sums() - run the command "sums".
 * @rest: its arguments
 * @out: gets the output
 *
 * sums MODEL priority=N queued=N due=N [told=0]: the daemons together have
 * these requests for a model waiting, and refused ones that are to return.
 */
void
planner_samples_exec_sums(const char *rest, GString *out)
{
	g_autofree char *model = g_strndup(rest, strcspn(rest, " "));
	struct sum_row *row = sum_table_find(&sums.total[SUM_DEMAND],
	    fwd_demand_key("s", model,
		(int)script_number(rest, "priority", 0)));

	row->values[DEMAND_QUEUED] =
	    1000 * (uint32_t)script_number(rest, "queued", 0);
	row->values[DEMAND_DUE] =
	    1000 * (uint32_t)script_number(rest, "due", 0);
	sums.told = script_number(rest, "told", 1) != 0;
}

/**
 * planner_samples_exec_take_over() - run the command "take-over": another
 * placer takes over, which knows the bound only.
 * @rest: not used
 * @out: gets the output
 */
void
planner_samples_exec_take_over(const char *rest, GString *out)
{
	memset(&peak, 0, sizeof peak);
}
