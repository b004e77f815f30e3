/*
 * Time after which a refused client is told to return. Pure.
 *
 * Clients that are told to return are served from what the replicas can serve
 * beyond first attempts. A client returns after those of its own and of higher
 * priorities that were told to return before it. Where first attempts take all,
 * the end of the shortage is not known; clients then return over the later part
 * of the time that they obey.
 */
#include <math.h>

#include "retry-schedule.h"

/* Clients obey a time to retry up to this part of the time that they have. */
#define OBEYED (1.0 / 3)
/* A resubmitted attempt is recognized by its remaining time, which is shorter
 * than that of a first attempt by more than the objective. This is added for
 * the client's own delay. */
#define RECOGNIZED_MARGIN_MS 50
/* Returns are spread over this time at least: the sums that they are computed
 * from lag behind by about as much. */
#define SPREAD_MIN_MS 1000.0
/* Where no capacity is expected, clients return after this part of the time
 * that they obey: the later, the more of a burst has passed. */
#define SHORTAGE_FROM 0.8
/* Each priority has at least this part of that time. */
#define SHARE_MIN 0.5
#define MS_PER_S 1000.0

/* Return in a shortage: clients of higher priorities have the earlier parts of
 * the time from @first to @last. */
static double
shortage_ms(const struct retry_input *in, double first, double last)
{
	double due = in->due_higher + in->due_same;
	double from = due > 0 ? in->due_higher / fmax(in->due, due) : 0;
	double to = due > 0 ? due / fmax(in->due, due) : 1;

	from = fmin(from, 1 - SHARE_MIN);
	to = fmax(to, from + SHARE_MIN);
	return (first +
	    (last - first) * (from + (to - from) * in->draw / UINT32_MAX));
}

/**
 * retry_schedule_ms() - time after which a refused client should return.
 * @in: what is known of the capacity and of the clients
 *
 * Return: milliseconds; 0 for a client without time left.
 */
int64_t
retry_schedule_ms(const struct retry_input *in)
{
	double last =
	    fmax(0, fmin(in->left_ms * OBEYED, in->left_ms - in->objective_ms));
	double first =
	    fmax(in->objective_ms + RECOGNIZED_MARGIN_MS, in->capacity_ms);
	double spare = in->served_per_s - in->asked_per_s;
	double spread;

	if (spare > 0)
		first += (in->due_higher + in->due_same) / spare * MS_PER_S;
	if (spare <= 0 || first > last * SHORTAGE_FROM)
		return (llround(shortage_ms(in, last * SHORTAGE_FROM, last)));
	spread = fmax(SPREAD_MIN_MS, in->due_same / spare * MS_PER_S);
	return (llround(
	    first + fmin(spread, last - first) * in->draw / UINT32_MAX));
}
