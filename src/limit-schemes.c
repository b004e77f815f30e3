/*
 * Other ways to share a limit among daemons, to compare with the one in use.
 * They know of the daemons that live at once, which is better than any can.
 */
#include "limit-model.h"

/* Turns that a daemon saves up. */
#define TURNS_MOST 1.0
/* A daemon that died counts for so long; another takes over from an owner. */
#define DEAD_MS 1500
/* Weight of the newest millisecond in a daemon's demand. */
#define DEMAND_ALPHA (1.0 / 3000)
#define MS_PER_S 1000.0

static unsigned
ways_living(const struct limit_model *m)
{
	unsigned n = 0;

	for (unsigned i = 0; i < m->fleet->n; i++)
		n += m->fleet->daemons[i].up;
	return (n);
}

static void
ways_fill(struct limit_daemon *d, double per_s)
{
	d->permits = MIN(d->permits + per_s / MS_PER_S, TURNS_MOST);
}

static bool
ways_take(struct limit_model *m, unsigned at)
{
	struct limit_daemon *d = &m->daemons[at];

	/* One that the endpoint has not told yet sends as it likes. */
	if (d->notified_ms == 0)
		return (true);
	if (d->permits < 1)
		return (false);
	d->permits--;
	return (true);
}

static void
ways_heard(struct limit_model *m, unsigned at, uint64_t now_ms)
{
}

/* Each daemon that lives has the same share. */
static void
equal_look(struct limit_model *m)
{
	unsigned living = ways_living(m);

	for (unsigned i = 0; i < m->fleet->n; i++)
		ways_fill(&m->daemons[i], m->per_s / living);
}

const struct limit_scheme limit_scheme_equal = {
	.name = "equal",
	.step = equal_look,
	.admit = ways_take,
	.notified = ways_heard,
};

/* Each daemon has a share by the requests that it had lately. */
static void
demand_look(struct limit_model *m)
{
	double sum = 0;

	for (unsigned i = 0; i < m->fleet->n; i++) {
		struct limit_daemon *d = &m->daemons[i];
		double now =
		    m->fleet->daemons[i].up && i % m->busy == 0 ? m->demand : 0;

		d->demand += DEMAND_ALPHA * (now - d->demand);
		sum += d->demand;
	}
	for (unsigned i = 0; i < m->fleet->n && sum > 0; i++)
		ways_fill(&m->daemons[i],
		    m->per_s * m->daemons[i].demand / sum);
}

const struct limit_scheme limit_scheme_demand = {
	.name = "demand",
	.step = demand_look,
	.admit = ways_take,
	.notified = ways_heard,
};

/* One daemon hands out each request; another takes over when it is lost. */
static void
owner_look(struct limit_model *m)
{
	m->owner_permits =
	    MIN(m->owner_permits + m->per_s / MS_PER_S, TURNS_MOST);
	if (m->fleet->daemons[m->owner].up)
		return;
	m->owner = (m->owner + 1) % m->fleet->n;
	m->owner_since_ms = m->fleet->now_ms + DEAD_MS;
	m->owner_permits = 0;
}

static bool
owner_take(struct limit_model *m, unsigned at)
{
	if (m->daemons[at].notified_ms == 0)
		return (true);
	if (m->owner_permits < 1 || m->fleet->now_ms < m->owner_since_ms)
		return (false);
	m->owner_permits--;
	return (true);
}

const struct limit_scheme limit_scheme_owner = {
	.name = "owner",
	.step = owner_look,
	.admit = owner_take,
	.notified = ways_heard,
};
