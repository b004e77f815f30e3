/*
 * Alternative schemes to share a limit among daemons, for comparison with the
 * one in use. They know at once which daemons are alive, which is better than
 * any real one can.
 */
#include "limit-model.h"

/* Most permits that a daemon accumulates. */
#define PERMITS_MAX 1.0
/* Time until a daemon replaces an owner that died. */
#define DEAD_MS 1500
/* Weight of the newest millisecond in a daemon's demand. */
#define DEMAND_ALPHA (1.0 / 3000)
#define MS_PER_S 1000.0

static unsigned
scheme_count_alive(const struct limit_model *m)
{
	unsigned n = 0;

	for (unsigned i = 0; i < m->fleet->n; i++)
		n += m->fleet->daemons[i].up;
	return (n);
}

static void
scheme_refill(struct limit_daemon *d, double per_s)
{
	d->permits = MIN(d->permits + per_s / MS_PER_S, PERMITS_MAX);
}

static bool
scheme_admit(struct limit_model *m, unsigned index)
{
	struct limit_daemon *d = &m->daemons[index];

	/* A daemon that the endpoint has not notified yet sends without
	 * restriction. */
	if (d->notified_ms == 0)
		return (true);
	if (d->permits < 1)
		return (false);
	d->permits--;
	return (true);
}

static void
scheme_notified(struct limit_model *m, unsigned index, uint64_t now_ms)
{
}

/* Each live daemon has the same share. */
static void
equal_step(struct limit_model *m)
{
	unsigned n_alive = scheme_count_alive(m);

	for (unsigned i = 0; i < m->fleet->n; i++)
		scheme_refill(&m->daemons[i], m->per_s / n_alive);
}

const struct limit_scheme limit_scheme_equal = {
	.name = "equal",
	.step = equal_step,
	.admit = scheme_admit,
	.notified = scheme_notified,
};

/* Each daemon's share is proportional to its recent requests. */
static void
demand_step(struct limit_model *m)
{
	double sum = 0;

	for (unsigned i = 0; i < m->fleet->n; i++) {
		struct limit_daemon *d = &m->daemons[i];
		double current =
		    m->fleet->daemons[i].up && i % m->busy == 0 ? m->demand : 0;

		d->demand += DEMAND_ALPHA * (current - d->demand);
		sum += d->demand;
	}
	for (unsigned i = 0; i < m->fleet->n && sum > 0; i++)
		scheme_refill(&m->daemons[i],
		    m->per_s * m->daemons[i].demand / sum);
}

const struct limit_scheme limit_scheme_demand = {
	.name = "demand",
	.step = demand_step,
	.admit = scheme_admit,
	.notified = scheme_notified,
};

/* One daemon grants each request; another replaces it when it is lost. */
static void
owner_step(struct limit_model *m)
{
	m->owner_permits =
	    MIN(m->owner_permits + m->per_s / MS_PER_S, PERMITS_MAX);
	if (m->fleet->daemons[m->owner].up)
		return;
	m->owner = (m->owner + 1) % m->fleet->n;
	m->owner_since_ms = m->fleet->now_ms + DEAD_MS;
	m->owner_permits = 0;
}

static bool
owner_admit(struct limit_model *m, unsigned index)
{
	if (m->daemons[index].notified_ms == 0)
		return (true);
	if (m->owner_permits < 1 || m->fleet->now_ms < m->owner_since_ms)
		return (false);
	m->owner_permits--;
	return (true);
}

const struct limit_scheme limit_scheme_owner = {
	.name = "owner",
	.step = owner_step,
	.admit = owner_admit,
	.notified = scheme_notified,
};
