/* Simulation, in virtual time, of many daemons that send to an endpoint with a
 * rate limit. */
#include <math.h>
#include <string.h>

#include "limit-model.h"

/* What the endpoint tolerates: in each window a multiple of the limit, and a
 * constant. */
#define WINDOW_MS 4000
#define WINDOW_FACTOR 1.5
#define WINDOW_EXTRA 5
/* Time that daemons have to adapt before requests over the limit count. */
#define STABLE_MS 3000
/* Requests that a daemon sent before it was notified have arrived by then. */
#define CROSSING_MS 500
/* Time until a response of the endpoint arrives. */
#define RESPONSE_MS 5
#define MS_PER_S 1000.0

static struct endpoint *
model_endpoint(const struct limit_model *m, unsigned index)
{
	return (
	    TAILQ_FIRST(&m->fleet->daemons[index].registry.fleet.endpoints));
}

/**
 * limit_model_new() - create a model of an endpoint without a limit.
 * @fleet: the daemons; their first endpoint is the one modelled
 * @scheme: how they share the limit
 * @demand: requests per second of each daemon that has any
 * @busy: one in this many daemons has requests
 */
struct limit_model *
limit_model_new(struct fleet_model *fleet, const struct limit_scheme *scheme,
    double demand, unsigned busy)
{
	struct limit_model *m = g_new0(struct limit_model, 1);

	m->fleet = fleet;
	m->scheme = scheme;
	m->daemons = g_new0(struct limit_daemon, fleet->n);
	m->per_s = -1;
	m->demand = demand;
	m->busy = busy;
	m->arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	return (m);
}

/**
 * limit_model_free() - free the model, not the daemons.
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
 * limit_model_set_limit() - change the limit that the endpoint names.
 * @m: the model
 * @per_s: requests per second; below 0 for none
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

/* Counts a request of a notified daemon against the current window. */
static void
model_check_window(struct limit_model *m)
{
	uint64_t now = m->fleet->now_ms;
	guint old = 0;

	while (old < m->arrivals->len &&
	    now - g_array_index(m->arrivals, uint64_t, old) >= WINDOW_MS)
		old++;
	g_array_remove_range(m->arrivals, 0, old);
	g_array_append_val(m->arrivals, now);
	m->n_over += now - m->limit_set_ms >= STABLE_MS &&
	    m->arrivals->len >
		WINDOW_FACTOR * m->per_s * WINDOW_MS / MS_PER_S + WINDOW_EXTRA;
}

/* A request of a daemon reaches the endpoint, which answers it. */
static void
model_request(struct limit_model *m, unsigned index)
{
	struct limit_daemon *d = &m->daemons[index];
	uint64_t now = m->fleet->now_ms;

	m->n_requests += now - m->limit_set_ms >= STABLE_MS;
	if (m->per_s < 0) {
		m->scheme->notified(m, index, now);
		return;
	}
	if (d->notified_ms != 0 && now - d->notified_ms >= CROSSING_MS)
		model_check_window(m);
	m->n_uninformed += d->notified_ms == 0;
	if (d->notified_ms == 0)
		d->notified_ms = now + RESPONSE_MS;
	m->scheme->notified(m, index, now);
}

/* Whether a daemon has a request for the endpoint in this millisecond. */
static bool
model_arrives(struct limit_model *m, unsigned index)
{
	if (!m->fleet->daemons[index].up || index % m->busy != 0)
		return (false);
	return (fleet_model_random(m->fleet, 1000000) <
	    m->demand / MS_PER_S * 1000000);
}

/**
 * limit_model_run() - advance virtual time.
 * @m: the model
 * @ms: by how much, in ms
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
 * limit_model_used() - fraction of the limit that was used while requests
 * counted.
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
 * limit_model_informed() - number of daemons that know of the limit.
 * @m: the model
 */
unsigned
limit_model_informed(const struct limit_model *m)
{
	unsigned n = 0;

	for (unsigned i = 0; i < m->fleet->n; i++)
		n += m->fleet->daemons[i].up &&
		    model_endpoint(m, i)->limit.named;
	return (n);
}

/**
 * limit_model_share() - sum of all daemons' shares.
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

/* The scheme in use: a few daemons share the whole limit, chosen from the
 * state that daemons exchange. */
static bool
users_admit(struct limit_model *m, unsigned index)
{
	struct endpoint_limit *limit = &model_endpoint(m, index)->limit;

	if (endpoint_limit_wait_ms(limit, 0, m->fleet->now_ms) > 0)
		return (false);
	return (!limit->named ||
	    endpoint_limit_take_permit(limit, m->fleet->now_ms));
}

static void
users_notified(struct limit_model *m, unsigned index, uint64_t now_ms)
{
	struct mesh *mesh = &m->fleet->daemons[index].mesh;
	struct endpoint *ep = model_endpoint(m, index);
	bool changed;

	/* A request is answered in the same millisecond here. */
	changed = m->per_s < 0 ?
	    endpoint_limit_clear(&ep->limit, now_ms) :
	    endpoint_limit_set(&ep->limit, m->per_s, now_ms);
	ep->limit.heard_ms = now_ms;
	if (!changed)
		return;
	mesh_limit_changed(mesh, ep);
	mesh_send(mesh);
}

const struct limit_scheme limit_scheme_users = {
	.name = "users",
	.admit = users_admit,
	.notified = users_notified,
};
