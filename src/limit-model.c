/* An endpoint that names a limit before many daemons, in virtual time. */
#include <math.h>
#include <string.h>

#include "limit-model.h"

/* What the endpoint bears: in each span so many times the limit, and more. */
#define SPAN_MS 4000
#define SPAN_TIMES 1.5
#define SPAN_MORE 5
/* From its naming on daemons have so long until that counts. */
#define STABLE_MS 3000
/* What a daemon had sent before it was told has arrived by then. */
#define CROSSING_MS 500
/* An answer of the endpoint is there after this. */
#define ANSWER_MS 5
#define MS_PER_S 1000.0

static struct endpoint *
model_endpoint(const struct limit_model *m, unsigned at)
{
	return (TAILQ_FIRST(&m->fleet->daemons[at].registry.fleet.endpoints));
}

/**
 * limit_model_new() - an endpoint without a limit.
 * @fleet: the daemons; the model's first endpoint is the one
 * @way: how they share
 * @demand: requests a second of each daemon that has any
 * @busy: of so many daemons each one has
 */
struct limit_model *
limit_model_new(struct fleet_model *fleet, const struct limit_scheme *way,
    double demand, unsigned busy)
{
	struct limit_model *m = g_new0(struct limit_model, 1);

	m->fleet = fleet;
	m->scheme = way;
	m->daemons = g_new0(struct limit_daemon, fleet->n);
	m->per_s = -1;
	m->demand = demand;
	m->busy = busy;
	m->arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return (m);
}

/**
 * limit_model_free() - free the endpoint, not the daemons.
 * @m: the model
 */
void
limit_model_free(struct limit_model *m)
{
	g_array_free(m->arrivals, TRUE);
	g_free(m->daemons);
	g_free(m);
}

/**
 * limit_model_set_limit() - the endpoint names another limit from now on.
 * @m: the model
 * @per_s: requests a second; below 0 for none
 */
void
limit_model_set_limit(struct limit_model *m, double per_s)
{
	m->per_s = per_s;
	m->limit_set_ms = m->fleet->now_ms;
	m->n_requests = m->n_over = m->n_uninformed = 0;
	g_array_set_size(m->arrivals, 0);
	for (unsigned i = 0; i < m->fleet->n; i++)
		m->daemons[i].notified_ms = 0;
}

/* Counts a request of a daemon that was told, in the last span. */
static void
model_judge(struct limit_model *m)
{
	uint64_t now = m->fleet->now_ms;
	guint old = 0;

	while (old < m->arrivals->len &&
	    now - g_array_index(m->arrivals, uint64_t, old) >= SPAN_MS)
		old++;
	g_array_remove_range(m->arrivals, 0, old);
	g_array_append_val(m->arrivals, now);
	m->n_over += now - m->limit_set_ms >= STABLE_MS &&
	    m->arrivals->len >
		SPAN_TIMES * m->per_s * SPAN_MS / MS_PER_S + SPAN_MORE;
}

/* A request of a daemon reaches the endpoint, which answers it. */
static void
model_request(struct limit_model *m, unsigned at)
{
	struct limit_daemon *d = &m->daemons[at];
	uint64_t now = m->fleet->now_ms;

	m->n_requests += now - m->limit_set_ms >= STABLE_MS;
	if (m->per_s < 0) {
		m->scheme->notified(m, at, now);
		return;
	}
	if (d->notified_ms != 0 && now - d->notified_ms >= CROSSING_MS)
		model_judge(m);
	m->n_uninformed += d->notified_ms == 0;
	if (d->notified_ms == 0)
		d->notified_ms = now + ANSWER_MS;
	m->scheme->notified(m, at, now);
}

/* Whether a daemon has a request for the endpoint in this millisecond. */
static bool
model_arrives(struct limit_model *m, unsigned at)
{
	if (!m->fleet->daemons[at].up || at % m->busy != 0)
		return (false);
	return (fleet_model_random(m->fleet, 1000000) <
	    m->demand / MS_PER_S * 1000000);
}

/**
 * limit_model_run() - let time pass.
 * @m: the model
 * @ms: how much
 */
void
limit_model_run(struct limit_model *m, uint64_t ms)
{
	while (ms-- > 0) {
		fleet_model_run(m->fleet, 1);
		if (m->scheme->step != NULL)
			m->scheme->step(m);
		for (unsigned i = 0; i < m->fleet->n; i++) {
			if (model_arrives(m, i) && m->scheme->admit(m, i))
				model_request(m, i);
		}
	}
}

/**
 * limit_model_used() - part of the limit that was used, from when it counted.
 * @m: the model
 */
double
limit_model_used(const struct limit_model *m)
{
	double s =
	    (double)(m->fleet->now_ms - m->limit_set_ms - STABLE_MS) / MS_PER_S;

	return (m->n_requests / (m->per_s * s));
}

/**
 * limit_model_informed() - daemons that know of the limit.
 * @m: the model
 */
unsigned
limit_model_informed(const struct limit_model *m)
{
	unsigned n = 0;

	for (unsigned i = 0; i < m->fleet->n; i++)
		n += m->fleet->daemons[i].up &&
		    model_endpoint(m, i)->limit.active;
	return (n);
}

/**
 * limit_model_share() - the sum of all daemons' shares.
 * @m: the model
 */
double
limit_model_share(const struct limit_model *m)
{
	double sum = 0;

	for (unsigned i = 0; i < m->fleet->n; i++) {
		if (m->fleet->daemons[i].up)
			sum += model_endpoint(m, i)->limit.share_per_s;
	}
	return (sum);
}

/* The daemons' own way: a few of them have it all, by what they tell each
 * other. */
static bool
users_take(struct limit_model *m, unsigned at)
{
	struct endpoint_limit *limit = &model_endpoint(m, at)->limit;

	if (endpoint_limit_wait_ms(limit, 0, m->fleet->now_ms) > 0)
		return (false);
	return (!limit->active ||
	    endpoint_limit_take_permit(limit, m->fleet->now_ms));
}

static void
users_heard(struct limit_model *m, unsigned at, uint64_t now_ms)
{
	struct mesh *mesh = &m->fleet->daemons[at].mesh;
	struct endpoint *ep = model_endpoint(m, at);
	bool news;

	/* A request is answered in the same millisecond here. */
	news = m->per_s < 0 ? endpoint_limit_clear(&ep->limit, now_ms) :
			      endpoint_limit_set(&ep->limit, m->per_s, now_ms);
	ep->limit.heard_ms = now_ms;
	if (!news)
		return;
	mesh_limit_changed(mesh, ep);
	mesh_send(mesh);
}

const struct limit_scheme limit_scheme_users = {
	.name = "users",
	.admit = users_take,
	.notified = users_heard,
};
