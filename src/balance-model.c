/* Simulation, in virtual time, of many daemons that choose among replicas by
 * load reports of some age. */
#include <math.h>
#include <string.h>

#include "balance-model.h"
#include "fwd-admission.h"

#define MS_PER_S 1000.0
/* Failure domains; daemons and replicas are in each in turn. */
#define DOMAINS 3

static const char *const domain_names[DOMAINS] = { "a", "b", "c" };

/* Returns a random number; the sequence is the same in each run. */
static uint32_t
model_random(struct balance_model *m)
{
	m->random ^= m->random << 13;
	m->random ^= m->random >> 7;
	m->random ^= m->random << 17;
	return ((uint32_t)(m->random >> 32));
}

/* Adds a replica to a daemon's view. */
static void
daemon_add_endpoint(struct balance_daemon *d, unsigned index)
{
	g_autofree char *id = g_strdup_printf("r%u", index);
	struct endpoint_report report = { 0 };

	report.id = g_strdup(id);
	report.service = g_strdup("s");
	report.domain = g_strdup(domain_names[index % DOMAINS]);
	report.model = g_strdup("m");
	report.group = g_strdup("g");
	report.state = GROUP_OPEN;
	report.staged = g_ptr_array_new_with_free_func(g_free);
	d->endpoints[index] = fleet_update(&d->fleet, &report, index + 1, 0);
}

static void
daemon_init(struct balance_model *m, struct balance_daemon *d, unsigned index)
{
	unsigned n = m->setup.replicas;

	fleet_init(&d->fleet, &m->loop);
	d->domain = domain_names[index % DOMAINS];
	d->endpoints = g_new0(struct endpoint *, n);
	for (unsigned i = 0; i < BALANCE_RECORDS; i++)
		d->records[i] = g_new0(struct balance_load, n);
	for (unsigned i = 0; i < n; i++)
		daemon_add_endpoint(d, i);
}

/**
 * balance_model_new() - create daemons and replicas without requests.
 * @setup: what is simulated
 */
struct balance_model *
balance_model_new(const struct balance_setup *setup)
{
	struct balance_model *m = g_new0(struct balance_model, 1);

	m->setup = *setup;
	m->random = 88172645463325252u + setup->seed;
	m->engine = (struct engine_profile){ .slots = 34,
		.step_ms = 6,
		.per_seq_ms = 0.25,
		.prefill_per_ms = 46,
		.chunk = 2048,
		.stride = 5,
		.usual_prompt = setup->prompt,
		.usual_response = setup->response };
	m->model = (struct model_profile){ .name = (char *)"m",
		.size = 4,
		.pace = 0.6 };
	uv_loop_init(&m->loop);
	m->daemons = g_new0(struct balance_daemon, setup->daemons);
	m->replicas = g_new0(struct balance_replica, setup->replicas);
	for (unsigned i = 0; i < setup->daemons; i++)
		daemon_init(m, &m->daemons[i], i);
	for (unsigned i = 0; i < setup->replicas; i++) {
		struct balance_replica *r = &m->replicas[i];

		r->open = true;
		r->slow = 1;
		r->requests =
		    g_array_new(FALSE, FALSE, sizeof(struct balance_request));
		r->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	}
	return (m);
}

static void
daemon_clear(struct balance_daemon *d)
{
	for (unsigned i = 0; i < BALANCE_RECORDS; i++)
		g_free(d->records[i]);
	g_free(d->endpoints);
	fleet_clear(&d->fleet);
}

/**
 * balance_model_free() - free a model.
 * @m: the model
 */
void
balance_model_free(struct balance_model *m)
{
	for (unsigned i = 0; i < m->setup.daemons; i++)
		daemon_clear(&m->daemons[i]);
	for (unsigned i = 0; i < m->setup.replicas; i++) {
		g_array_free(m->replicas[i].requests, TRUE);
		g_array_free(m->replicas[i].first_ms, TRUE);
	}
	uv_loop_close(&m->loop);
	g_free(m->daemons);
	g_free(m->replicas);
	g_free(m);
}

/* Whether the network connects two failure domains. */
static bool
model_connects(const struct balance_model *m, const char *a, const char *b)
{
	return (g_strcmp0(a, m->cut) == 0) == (g_strcmp0(b, m->cut) == 0);
}

/* Sets whether a daemon may use a replica. */
static void
daemon_set_usable(const struct balance_model *m, struct balance_daemon *d,
    unsigned index)
{
	struct endpoint *ep = d->endpoints[index];
	bool open = m->replicas[index].open &&
	    model_connects(m, d->domain, ep->report.domain);

	ep->report.state = open ? GROUP_OPEN : GROUP_READY;
}

/**
 * balance_model_set_open() - open or close a replica; all daemons know at once.
 * @m: the model
 * @index: index of the replica
 * @open: it serves from now on
 */
void
balance_model_set_open(struct balance_model *m, unsigned index, bool open)
{
	m->replicas[index].open = open;
	for (unsigned i = 0; i < m->setup.daemons; i++)
		daemon_set_usable(m, &m->daemons[i], index);
}

/**
 * balance_model_cut() - cut a failure domain off from the others, or end that;
 *	all daemons know at once which replicas they reach.
 * @m: the model
 * @domain: name of the failure domain, or NULL
 */
void
balance_model_cut(struct balance_model *m, const char *domain)
{
	m->cut = domain;
	for (unsigned i = 0; i < m->setup.daemons; i++) {
		for (unsigned k = 0; k < m->setup.replicas; k++)
			daemon_set_usable(m, &m->daemons[i], k);
	}
}

/* A daemon's workload of a request, for its estimates. */
static struct fwd_workload
model_workload(const struct balance_model *m)
{
	return ((struct fwd_workload){ .engine = &m->engine,
	    .model = &m->model,
	    .prompt = m->setup.prompt,
	    .now_ms = m->now_ms });
}

/* Sends a request of a daemon to a replica. */
static void
model_send(struct balance_model *m, unsigned daemon, unsigned replica)
{
	struct balance_daemon *d = &m->daemons[daemon];
	struct endpoint *ep = d->endpoints[replica];
	struct fwd_workload workload = model_workload(m);
	struct balance_request request = { .daemon = daemon,
		.sent_ms = m->now_ms,
		.unread = m->setup.prompt,
		.unsent = m->setup.response };

	request.mark = fwd_backlog_add(&ep->backlog, m->setup.prompt,
	    fwd_expect_rate(ep, &workload), m->now_ms);
	ep->pending += m->setup.prompt;
	ep->inflight++;
	g_array_append_val(m->replicas[replica].requests, request);
}

/* Picks a random daemon, those of the first failure domain more often by the
 * setup's part. */
static unsigned
model_pick_daemon(struct balance_model *m)
{
	unsigned daemon = model_random(m) % m->setup.daemons;

	if (daemon % DOMAINS != 0 && model_random(m) % 100 < m->setup.excess)
		daemon -= daemon % DOMAINS;
	return (daemon);
}

/* A request arrives at a random daemon, which chooses a replica for it. */
static void
model_arrival(struct balance_model *m)
{
	unsigned daemon = model_pick_daemon(m);
	struct balance_daemon *d = &m->daemons[daemon];
	struct fwd_criteria criteria = { .service = "s",
		.engine = &m->engine,
		.model = &m->model,
		.prompt = m->setup.prompt,
		.objective_ms = BALANCE_OBJECTIVE_MS,
		.domain = d->domain,
		.balance_domains = m->setup.domains,
		.now_ms = m->now_ms,
		.draw = model_random(m) };
	struct fwd_unseen *unseen = &criteria.unseen;
	struct fwd_choice choice;
	struct fwd_admission admission = { .criteria = &criteria,
		.choice = &choice,
		.objective_ms = BALANCE_OBJECTIVE_MS };

	if (m->setup.spread) {
		unseen->age_ms = fwd_unseen_age(d->as_of_ms, m->now_ms);
		unseen->duration_ms = d->estimate.duration_ms;
		unseen->requests =
		    fwd_unseen_requests(fwd_rate_per_s(&d->estimate.sends,
					    m->now_ms),
			m->setup.daemons, unseen->age_ms);
	}
	fwd_choose(&d->fleet, &criteria, &choice);
	d->asked++;
	admission.first_ms = choice.first_ms;
	if (fwd_admission_decide(&admission) != ADMIT_SEND) {
		m->refused++;
		return;
	}
	m->crossed += strcmp(choice.endpoint->report.domain, d->domain) != 0;
	fwd_rate_add(&d->estimate.sends, m->now_ms);
	model_send(m, daemon, (unsigned)choice.endpoint->offset - 1);
}

/* Records each daemon's own loads, and how unequal the replicas' loads are. */
static void
model_record(struct balance_model *m)
{
	unsigned at = m->now_ms / BALANCE_RECORD_MS % BALANCE_RECORDS;
	double sum = 0, most = 0;
	unsigned n = 0;

	for (unsigned k = 0; k < m->setup.replicas; k++) {
		for (unsigned i = 0; i < m->setup.daemons; i++) {
			struct balance_daemon *d = &m->daemons[i];

			d->records[at][k].inflight = d->endpoints[k]->inflight;
			d->records[at][k].pending = d->endpoints[k]->pending;
		}
		if (!m->replicas[k].open)
			continue;
		sum += m->replicas[k].requests->len;
		most = fmax(most, m->replicas[k].requests->len);
		n++;
	}
	if (sum == 0)
		return;
	m->samples++;
	m->skew += most * n / sum;
	m->skew_max = fmax(m->skew_max, most * n / sum);
}

/* A daemon receives the others' loads, as they were some time ago. */
static void
daemon_receive(struct balance_model *m, struct balance_daemon *d)
{
	uint64_t as_of = m->now_ms - MIN(m->now_ms, m->setup.age_min_ms);
	unsigned at = as_of / BALANCE_RECORD_MS % BALANCE_RECORDS;

	d->as_of_ms = as_of;
	for (unsigned k = 0; k < m->setup.replicas; k++) {
		struct endpoint *ep = d->endpoints[k];

		ep->peer_inflight = 0;
		ep->peer_pending = 0;
		for (unsigned i = 0; i < m->setup.daemons; i++) {
			const struct balance_load *load =
			    &m->daemons[i].records[at][k];

			if (&m->daemons[i] == d ||
			    !model_connects(m, d->domain, m->daemons[i].domain))
				continue;
			ep->peer_inflight += load->inflight;
			ep->peer_pending += load->pending;
		}
	}
}

/* All daemons of a failure domain receive them at the same time. */
static void
model_exchange(struct balance_model *m)
{
	uint64_t period = m->setup.period_ms;

	for (unsigned i = 0; i < m->setup.daemons; i++) {
		if ((m->now_ms + i % DOMAINS * period / DOMAINS) % period == 0)
			daemon_receive(m, &m->daemons[i]);
	}
}

/**
 * balance_model_run() - simulate for some time.
 * @m: the model
 * @ms: how long, in ms
 */
void
balance_model_run(struct balance_model *m, uint64_t ms)
{
	uint64_t end_ms = m->now_ms + ms;
	uint32_t odds =
	    (uint32_t)(m->setup.rate / MS_PER_S / 4 * (double)UINT32_MAX);

	while (m->now_ms < end_ms) {
		m->now_ms++;
		for (unsigned k = 0; k < m->setup.replicas; k++)
			balance_replica_step(m, k);
		if (m->now_ms % BALANCE_RECORD_MS == 0)
			model_record(m);
		model_exchange(m);
		for (unsigned i = 0; i < 4; i++) {
			if (model_random(m) < odds)
				model_arrival(m);
		}
	}
}

/**
 * balance_model_reset() - forget the measured times and loads.
 * @m: the model
 */
void
balance_model_reset(struct balance_model *m)
{
	for (unsigned k = 0; k < m->setup.replicas; k++)
		g_array_set_size(m->replicas[k].first_ms, 0);
	for (unsigned i = 0; i < m->setup.daemons; i++) {
		m->daemons[i].asked = 0;
		m->daemons[i].in_time = 0;
	}
	m->refused = 0;
	m->crossed = 0;
	m->samples = 0;
	m->skew = 0;
	m->skew_max = 0;
}
