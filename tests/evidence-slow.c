/* Replay of an endpoint that is slow for some time. */
#include <math.h>

#include "evidence-replay.h"

/* Correction from which on a daemon counts as informed. */
#define INFORMED_MS 50.0
/* Share of its fair part from which on an endpoint counts as used. */
#define USED_SHARE 0.5
#define USED_WINDOW_MS 200

/* Number of daemons that know of an endpoint's lateness. */
static unsigned
count_informed(const struct replay *r, unsigned index)
{
	unsigned n = 0;

	for (unsigned d = 0; d < r->model->n; d++)
		n += replay_correction_ms(r, d, index) >= INFORMED_MS;
	return (n);
}

/* Whether a request of an endpoint is late already. */
static bool
any_sign(const struct replay *r, unsigned index)
{
	double now = (double)r->model->now_ms;

	for (guint i = 0; i < r->flights->len; i++) {
		const struct replay_flight *f = r->flights->pdata[i];

		if (f->index == index && !f->answered &&
		    now - f->sent_ms - f->base_ms > INFORMED_MS)
			return (true);
	}
	return (false);
}

/* When an endpoint has sent the first events that it owes now. */
static uint64_t
settled_ms(const struct replay *r, unsigned index)
{
	double last = (double)r->model->now_ms;

	for (guint i = 0; i < r->flights->len; i++) {
		const struct replay_flight *f = r->flights->pdata[i];

		if (f->index == index && !f->answered)
			last = fmax(last, f->first_ms);
	}
	return ((uint64_t)last);
}

/**
 * replay_slow() - make an endpoint slower for some time.
 * @r: the replay
 * @index: index of the endpoint
 * @factor: how much slower
 * @ms: for how long
 * @per_s: requests of all daemons per second
 * @known_ms: time from its first sign until all daemons know
 * @used_ms: time from the last event that was delayed until it is used again
 */
void
replay_slow(struct replay *r, unsigned index, double factor, uint64_t ms,
    double per_s, uint64_t *known_ms, uint64_t *used_ms)
{
	struct replay_endpoint *at = &r->endpoints[index];
	uint64_t start = r->model->now_ms, sign = 0;
	double fair = per_s / 1000 * USED_WINDOW_MS / r->model->n_endpoints;
	unsigned before;

	*known_ms = 0;
	at->slow = factor;
	at->slow_until_ms = (double)(start + ms);
	while (r->model->now_ms < start + ms) {
		replay_run(r, 20, per_s);
		if (sign == 0 && any_sign(r, index))
			sign = r->model->now_ms;
		if (sign != 0 && *known_ms == 0 &&
		    count_informed(r, index) == r->model->n)
			*known_ms = r->model->now_ms - sign + 1;
	}
	start = settled_ms(r, index);
	do {
		before = at->sent;
		replay_run(r, USED_WINDOW_MS, per_s);
	} while (at->sent - before < USED_SHARE * fair &&
	    r->model->now_ms < start + 5000);
	*used_ms = r->model->now_ms - MIN(start, r->model->now_ms);
}
