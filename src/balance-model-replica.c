/* Replicas of the simulation of many daemons that choose among them. */
#include <math.h>
#include <string.h>

#include "balance-model.h"

/* As in the proxy: weight of the newest gap in an endpoint's slowness, and
 * bounds of that. */
#define SLOWNESS_ALPHA 0.03
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 20.0

/* A daemon receives an event of a response. */
static void
model_receive_event(struct balance_model *m, unsigned replica,
    struct balance_request *request)
{
	struct endpoint *ep = m->daemons[request->daemon].endpoints[replica];
	double first = (double)(m->now_ms - request->sent_ms);
	double gap = (double)(m->now_ms - request->heard_ms);

	request->heard_ms = m->now_ms;
	if (request->started) {
		double ratio = gap * ep->slowness /
		    (fwd_expect_gap(ep, &m->engine, &m->model) *
			m->engine.stride);

		ep->slowness += SLOWNESS_ALPHA * (ratio - ep->slowness);
		ep->slowness = CLAMP(ep->slowness, SLOWNESS_MIN, SLOWNESS_MAX);
		return;
	}
	request->started = true;
	fwd_backlog_confirm(&ep->backlog, request->mark, m->now_ms);
	ep->pending -= m->setup.prompt;
	g_array_append_val(m->replicas[replica].first_ms, first);
	m->daemons[request->daemon].in_time += first <= BALANCE_OBJECTIVE_MS;
}

/* Ends a pass of a replica: each prefilled request gets its tokens. */
static void
replica_end_pass(struct balance_model *m, unsigned index)
{
	struct balance_replica *r = &m->replicas[index];
	guint n = MIN(r->requests->len, m->engine.slots);

	for (guint i = n; i-- > 0;) {
		struct balance_request *request =
		    &g_array_index(r->requests, struct balance_request, i);
		struct balance_daemon *d = &m->daemons[request->daemon];

		if (request->unread > 0)
			continue;
		model_receive_event(m, index, request);
		request->unsent -= m->engine.stride;
		if (request->unsent > 0)
			continue;
		d->endpoints[index]->inflight--;
		fwd_estimate_add_duration(&d->estimate,
		    (double)(m->now_ms - request->sent_ms));
		g_array_remove_index(r->requests, i);
	}
}

/* Starts a pass: prefills up to a chunk of tokens, then decodes. */
static void
replica_start_pass(struct balance_model *m, struct balance_replica *r)
{
	const struct engine_profile *e = &m->engine;
	double chunk = e->chunk, decoding = 0;
	guint n = MIN(r->requests->len, e->slots);

	for (guint i = 0; i < n; i++) {
		struct balance_request *request =
		    &g_array_index(r->requests, struct balance_request, i);
		double read = fmin(request->unread, chunk);

		request->unread -= read;
		chunk -= read;
		decoding += request->unread <= 0;
	}
	r->pass_end_ms +=
	    ((e->chunk - chunk) / e->prefill_per_ms +
		e->stride * (e->step_ms + e->per_seq_ms * decoding)) *
	    m->model.pace * r->slow;
}

/**
 * balance_replica_step() - simulate a millisecond of a replica.
 * @m: the model
 * @index: index of the replica
 */
void
balance_replica_step(struct balance_model *m, unsigned index)
{
	struct balance_replica *r = &m->replicas[index];

	if (r->pass_end_ms > (double)m->now_ms)
		return;
	replica_end_pass(m, index);
	if (r->requests->len == 0)
		r->pass_end_ms = (double)m->now_ms;
	else
		replica_start_pass(m, r);
}

/**
 * balance_model_in_time() - number of first events in time.
 * @m: the model
 * @domain: of the daemons of this failure domain; NULL for all
 * @asked: set to the number of requests that arrived there
 */
unsigned
balance_model_in_time(const struct balance_model *m, const char *domain,
    unsigned *asked)
{
	unsigned in_time = 0;

	*asked = 0;
	for (unsigned i = 0; i < m->setup.daemons; i++) {
		const struct balance_daemon *d = &m->daemons[i];

		if (domain != NULL && strcmp(d->domain, domain) != 0)
			continue;
		*asked += d->asked;
		in_time += d->in_time;
	}
	return (in_time);
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return ((x > y) - (x < y));
}

/**
 * balance_model_first() - percentile of the times to the first event.
 * @m: the model
 * @index: index of the replica
 * @part: part of the requests, such as 0.9
 *
 * Return: milliseconds; 0 if the replica had no first event.
 */
double
balance_model_first(const struct balance_model *m, unsigned index, double part)
{
	GArray *first = m->replicas[index].first_ms;

	if (first->len == 0)
		return (0);
	g_array_sort(first, compare_doubles);
	return (g_array_index(first, double, (guint)(part * (first->len - 1))));
}
