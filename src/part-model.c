/* Simulation, in virtual time, of many daemons that receive requests with a
 * prompt part which crashes every endpoint, beside normal ones. */
#include "part-model.h"

/* From the send to the crash of the endpoint: the wait for a slot and the
 * prefill. */
#define CRASH_MS 330
/* From the send until the endpoint begins to respond. */
#define BEGIN_MS 250
/* Daemons look this often for what has been quarantined since it was sent. */
#define WITHDRAW_EACH_MS 25
/* From the send until the endpoint has shown that it survives the parts. */
#define SURVIVE_MS 600
/* Sends of one request. */
#define SENDS_MAX 2
/* After so many crashes faulty sends count as late once PART_STABLE_MS have
 * passed. */
#define LATE_AFTER_CRASHES 5
#define PART_STABLE_MS 3000
/* Sound requests that run on an endpoint that crashes. */
#define BYSTANDERS_MAX 25
/* Parts that normal requests have in second place. */
#define SIBLINGS 6
#define MS_PER_S 1000
/* Fingerprints: of the part that all requests share, of the one that crashes
 * endpoints, of the first one in its place, and of the first request. */
#define PARENT 1
#define FAULTY 2
#define FIRST_SIBLING 10
#define FIRST_REQUEST 1000

/**
 * part_model_new() - create a model without crashes.
 * @fleet: the daemons
 * @load: the requests that arrive
 */
struct part_model *
part_model_new(struct fleet_model *fleet, const struct part_load *load)
{
	struct part_model *m = g_new0(struct part_model, 1);

	m->fleet = fleet;
	m->load = *load;
	m->requests = g_array_new(FALSE, FALSE, sizeof(struct part_request));
	m->next_id = FIRST_REQUEST;
	return (m);
}

/**
 * part_model_free() - free the model, not the daemons.
 * @m: the model
 */
void
part_model_free(struct part_model *m)
{
	g_array_free(m->requests, TRUE);
	g_free(m);
}

static struct registry *
model_registry(const struct part_model *m, unsigned index)
{
	return (&m->fleet->daemons[index].registry);
}

/* Whether PART_STABLE_MS times a number have passed since the fifth crash. */
static bool
model_is_stable(const struct part_model *m, unsigned times)
{
	return (m->fifth_crash_ms != 0 &&
	    m->fleet->now_ms >= m->fifth_crash_ms + times * PART_STABLE_MS);
}

/* What its daemon does with a request. */
static enum poison_action
model_decide(const struct part_model *m, const struct part_request *request)
{
	const struct registry *registry = model_registry(m, request->daemon);
	struct poison_decision decision;

	poison_decide(&registry->poison, &registry->fleet, &request->keys,
	    m->fleet->now_ms, &decision);
	return (decision.action);
}

/* Sends a request unless its daemon refuses it; returns whether it did. */
static bool
model_send(struct part_model *m, struct part_request *request)
{
	if (model_decide(m, request) != POISON_SEND)
		return (false);
	request->sends++;
	request->sent_ms = m->fleet->now_ms;
	request->due_ms =
	    m->fleet->now_ms + (request->faulty ? CRASH_MS : SURVIVE_MS);
	m->n_late += request->faulty && model_is_stable(m, 1);
	g_array_append_val(m->requests, *request);
	return (true);
}

/* Sends a request again at its daemon, if that may. */
static void
model_retry(struct part_model *m, struct part_request *request)
{
	const struct registry *registry = model_registry(m, request->daemon);

	if (request->sends < SENDS_MAX &&
	    poison_may_retry(&registry->poison, &registry->fleet,
		&request->keys, m->fleet->now_ms))
		model_send(m, request);
}

/* A daemon loses a request at an endpoint that crashed. */
static void
model_lose(struct part_model *m, struct part_request *request)
{
	const struct poison_crash crash = {
		.id_hash = m->n_crashes,
		.at_ms = m->fleet->now_ms,
	};

	for (unsigned i = 0; i < request->keys.n; i++)
		poison_observe_crash(&model_registry(m, request->daemon)
					  ->poison,
		    &request->keys.key[i], &crash, crash.at_ms);
	model_retry(m, request);
}

/* Takes a normal request, drawn at random, out of those in progress; returns
 * false if there is none. */
static bool
model_take_bystander(struct part_model *m, struct part_request *request)
{
	unsigned start, i;

	if (m->requests->len == 0)
		return (false);
	start = fleet_model_random(m->fleet, m->requests->len);
	for (unsigned n = 0; n < m->requests->len; n++) {
		i = (start + n) % m->requests->len;
		*request = g_array_index(m->requests, struct part_request, i);
		if (request->faulty || request->due_ms <= m->fleet->now_ms)
			continue;
		g_array_remove_index(m->requests, i);
		return (true);
	}
	return (false);
}

/* An endpoint crashes under a request, and ends the others that it has: its
 * share of those in progress. */
static void
model_crash(struct part_model *m, struct part_request *request)
{
	unsigned n = m->requests->len / MAX(m->fleet->n_endpoints, 1);
	struct part_request other;

	if (++m->n_crashes == LATE_AFTER_CRASHES)
		m->fifth_crash_ms = m->fleet->now_ms;
	model_lose(m, request);
	for (n = MIN(n, BYSTANDERS_MAX); n > 0; n--) {
		if (model_take_bystander(m, &other))
			model_lose(m, &other);
	}
}

/* An endpoint has survived the parts of a request. */
static void
model_survive(struct part_model *m, const struct part_request *request)
{
	struct poison *poison = &model_registry(m, request->daemon)->poison;

	for (unsigned i = 0; m->load.clears && i < request->keys.n; i++)
		poison_note_success(poison, request->keys.key[i].fingerprint,
		    m->fleet->now_ms);
}

static void
model_run_due(struct part_model *m)
{
	for (guint i = 0; i < m->requests->len;) {
		struct part_request request =
		    g_array_index(m->requests, struct part_request, i);

		if (request.due_ms > m->fleet->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(m->requests, i);
		if (request.faulty)
			model_crash(m, &request);
		else
			model_survive(m, &request);
	}
}

/* Withdraws what has been quarantined since it was sent and has not begun. */
static void
model_withdraw(struct part_model *m)
{
	for (guint i = m->requests->len; i-- > 0;) {
		const struct part_request *request =
		    &g_array_index(m->requests, struct part_request, i);

		if (m->fleet->now_ms >= request->sent_ms + BEGIN_MS ||
		    model_decide(m, request) != POISON_QUARANTINED)
			continue;
		m->n_refused_early += !request->faulty;
		g_array_remove_index(m->requests, i);
	}
}

/* A request arrives at a daemon. */
static void
model_arrive(struct part_model *m, bool faulty)
{
	struct part_request request = {
		.daemon = fleet_model_random(m->fleet, m->fleet->n),
		.faulty = faulty,
	};
	uint64_t second = faulty ?
	    FAULTY :
	    FIRST_SIBLING + fleet_model_random(m->fleet, SIBLINGS);
	bool sent;

	request.keys.key[0] = (struct poison_key){ m->next_id++, false };
	request.keys.key[1] = (struct poison_key){ PARENT, true };
	request.keys.key[2] = (struct poison_key){ second, true };
	request.keys.n = 3;
	sent = model_send(m, &request);
	if (faulty)
		return;
	m->n_normal += model_is_stable(m, 2);
	if (!sent && model_is_stable(m, 2))
		m->n_refused++;
	else if (!sent)
		m->n_refused_early++;
}

/**
 * part_model_run() - advance virtual time.
 * @m: the model
 * @ms: by how much, in ms
 */
void
part_model_run(struct part_model *m, uint64_t ms)
{
	while (ms-- > 0) {
		fleet_model_run(m->fleet, 1);
		model_run_due(m);
		if (m->load.withdraws &&
		    m->fleet->now_ms % WITHDRAW_EACH_MS == 0)
			model_withdraw(m);
		if (fleet_model_random(m->fleet, MS_PER_S) <
		    m->load.faulty_per_s)
			model_arrive(m, true);
		if (fleet_model_random(m->fleet, MS_PER_S) <
		    m->load.normal_per_s)
			model_arrive(m, false);
	}
}
