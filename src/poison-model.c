/* Simulation, in virtual time, of many daemons that receive requests which
 * crash every endpoint that runs them. */
#include "poison-model.h"

/* From the send to the crash of the endpoint: about the wait for a slot and the
 * first step. */
#define RUN_MS 400
/* Sends of one attempt. */
#define SENDS_MAX 2
/* After this many crashes by a request, its sends count as late once STABLE_MS
 * have passed. */
#define LATE_AFTER_CRASHES 3
#define STABLE_MS 3000
/* Bystanders on an endpoint that crashes, and how many of these, in
 * thousandths, were on the endpoint that crashed before as well. */
#define BYSTANDERS_PER_CRASH 25
#define REPEAT_THOUSANDTHS 100
#define MS_PER_S 1000
/* First fingerprint of bystanders. */
#define FIRST_BYSTANDER 1000000u

/**
 * poison_model_new() - create a model without crashes.
 * @fleet: the daemons
 * @scheme: how they bound the damage of such requests
 * @per_s: attempts per second of each request
 * @n_requests: number of such requests
 */
struct poison_model *
poison_model_new(struct fleet_model *fleet, const struct poison_scheme *scheme,
    double per_s, unsigned n_requests)
{
	struct poison_model *m = g_new0(struct poison_model, 1);

	m->fleet = fleet;
	m->scheme = scheme;
	m->per_s = per_s;
	m->n_requests = n_requests;
	m->attempts = g_array_new(FALSE, FALSE, sizeof(struct poison_attempt));
	m->bystanders = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	m->third_crash_ms = g_new0(uint64_t, n_requests);
	m->crashes = g_new0(unsigned, n_requests);
	m->n_late = g_new0(unsigned, n_requests);
	m->next_fingerprint = FIRST_BYSTANDER;
	return (m);
}

/**
 * poison_model_free() - free the model, not the daemons.
 * @m: the model
 */
void
poison_model_free(struct poison_model *m)
{
	g_array_free(m->attempts, TRUE);
	g_array_free(m->bystanders, TRUE);
	g_free(m->third_crash_ms);
	g_free(m->crashes);
	g_free(m->n_late);
	g_free(m);
}

static struct poison *
model_poison(const struct poison_model *m, unsigned index)
{
	return (&m->fleet->daemons[index].registry.poison);
}

/* A daemon detects that an endpoint crashed while running a request. */
static void
model_observe_crash(struct poison_model *m, unsigned index,
    uint64_t fingerprint)
{
	const struct poison_crash crash = {
		.id_hash = m->n_crashes,
		.at_ms = m->fleet->now_ms,
	};

	const struct poison_key key = { fingerprint, false };

	if (m->fleet->daemons[index].up)
		poison_observe_crash(model_poison(m, index), &key, &crash,
		    m->fleet->now_ms);
}

/* Adds the crash to its bystanders: some of the previous crash, the rest new.
 */
static void
model_crash_bystanders(struct poison_model *m)
{
	GArray *previous = m->bystanders;

	m->bystanders = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (unsigned i = 0; i < BYSTANDERS_PER_CRASH; i++) {
		unsigned index = fleet_model_random(m->fleet, m->fleet->n);
		uint64_t fingerprint = m->next_fingerprint;

		if (i < previous->len &&
		    fleet_model_random(m->fleet, MS_PER_S) < REPEAT_THOUSANDTHS)
			fingerprint = g_array_index(previous, uint64_t, i);
		else
			m->next_fingerprint++;
		g_array_append_val(m->bystanders, fingerprint);
		model_observe_crash(m, index, fingerprint);
	}
	g_array_free(previous, TRUE);
}

/* Sends a request, unless the daemon refuses it. */
static void
model_send(struct poison_model *m, unsigned index, uint64_t fingerprint,
    unsigned sends)
{
	uint64_t now = m->fleet->now_ms;
	unsigned request = (unsigned)fingerprint - 1;
	const struct poison_attempt attempt = {
		.fingerprint = fingerprint,
		.daemon = index,
		.sends = sends + 1,
		.crash_ms = now + RUN_MS,
	};

	if (!m->fleet->daemons[index].up ||
	    m->scheme->refuses(m, index, fingerprint))
		return;
	m->n_late[request] += m->third_crash_ms[request] != 0 &&
	    now - m->third_crash_ms[request] >= STABLE_MS;
	g_array_append_val(m->attempts, attempt);
}

/* An endpoint crashes under a request. */
static void
model_crash(struct poison_model *m, const struct poison_attempt *attempt)
{
	unsigned request = (unsigned)attempt->fingerprint - 1;

	m->n_crashes++;
	m->last_crash_ms = m->fleet->now_ms;
	if (++m->crashes[request] == LATE_AFTER_CRASHES)
		m->third_crash_ms[request] = m->fleet->now_ms;
	model_observe_crash(m, attempt->daemon, attempt->fingerprint);
	model_crash_bystanders(m);
	if (attempt->sends < SENDS_MAX &&
	    m->scheme->resends(m, attempt->daemon, attempt->fingerprint))
		model_send(m, attempt->daemon, attempt->fingerprint,
		    attempt->sends);
}

static void
model_crash_due(struct poison_model *m)
{
	for (guint i = 0; i < m->attempts->len;) {
		struct poison_attempt attempt =
		    g_array_index(m->attempts, struct poison_attempt, i);

		if (attempt.crash_ms > m->fleet->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(m->attempts, i);
		model_crash(m, &attempt);
	}
}

/* For schemes in which daemons do not share what they suspect: marks all
 * suspected requests as sent. */
static void
model_suppress_sends(struct poison_model *m)
{
	for (unsigned i = 0; i < m->fleet->n; i++) {
		struct poison_suspect *request;

		if (!m->fleet->daemons[i].up)
			continue;
		TAILQ_FOREACH(request, &model_poison(m, i)->suspects, entry)
			request->changed_ms = 0;
		m->fleet->daemons[i].mesh.newcomer_ms = 0;
		for (unsigned k = 0; k < MESH_KINDS; k++)
			m->fleet->daemons[i].mesh.poison_sent_ms[k] =
			    m->fleet->now_ms;
	}
}

/**
 * poison_model_run() - advance virtual time.
 * @m: the model
 * @ms: by how much, in ms
 */
void
poison_model_run(struct poison_model *m, uint64_t ms)
{
	while (ms-- > 0) {
		if (!m->scheme->shares)
			model_suppress_sends(m);
		fleet_model_run(m->fleet, 1);
		model_crash_due(m);
		for (unsigned i = 0; i < m->n_requests; i++) {
			if (fleet_model_random(m->fleet, MS_PER_S) < m->per_s)
				model_send(m,
				    fleet_model_random(m->fleet, m->fleet->n),
				    i + 1, 0);
		}
	}
}

static unsigned
max_of(const unsigned *counts, unsigned n)
{
	unsigned max = 0;

	for (unsigned i = 0; i < n; i++)
		max = MAX(max, counts[i]);
	return (max);
}

/**
 * poison_model_crashes_max() - highest number of crashes by one request.
 * @m: the model
 */
unsigned
poison_model_crashes_max(const struct poison_model *m)
{
	return (max_of(m->crashes, m->n_requests));
}

/**
 * poison_model_late_max() - highest number of late sends of one request.
 * @m: the model
 */
unsigned
poison_model_late_max(const struct poison_model *m)
{
	return (max_of(m->n_late, m->n_requests));
}

/**
 * poison_model_refused() - count the bystanders that any daemon refuses.
 * @m: the model
 */
unsigned
poison_model_refused(const struct poison_model *m)
{
	unsigned n = 0;

	for (uint64_t fingerprint = FIRST_BYSTANDER;
	     fingerprint < m->next_fingerprint; fingerprint++) {
		for (unsigned i = 0; i < m->fleet->n; i++) {
			if (!m->fleet->daemons[i].up ||
			    !m->scheme->refuses(m, i, fingerprint))
				continue;
			n++;
			break;
		}
	}
	return (n);
}

/* The verdict of the daemons themselves. */
static bool
verdict_refuses(const struct poison_model *m, unsigned index,
    uint64_t fingerprint)
{
	const struct registry *registry = &m->fleet->daemons[index].registry;
	const struct poison_suspect *request =
	    poison_find(&registry->poison, fingerprint);
	const struct poison_keys keys = { { { fingerprint, false } }, 1 };
	struct poison_verdict verdict;

	if (request == NULL)
		return (false);
	poison_evaluate(&registry->poison, &registry->fleet, request, &keys,
	    m->fleet->now_ms, &verdict);
	return (verdict.until_ms != 0);
}

static bool
always_resends(const struct poison_model *m, unsigned index,
    uint64_t fingerprint)
{
	return (true);
}

/* Resends only requests that crashed no other endpoint. */
static bool
once_resends(const struct poison_model *m, unsigned index, uint64_t fingerprint)
{
	const struct registry *registry = &m->fleet->daemons[index].registry;
	const struct poison_keys keys = { { { fingerprint, false } }, 1 };

	return (poison_may_retry(&registry->poison, &registry->fleet, &keys,
	    m->fleet->now_ms));
}

/* Refuses after the second crash. */
static bool
two_refuses(const struct poison_model *m, unsigned index, uint64_t fingerprint)
{
	const struct poison_suspect *request =
	    poison_find(model_poison(m, index), fingerprint);

	return (request != NULL && request->n_crashes >= 2);
}

const struct poison_scheme poison_scheme_alone = {
	.name = "alone",
	.refuses = verdict_refuses,
	.resends = always_resends,
};
const struct poison_scheme poison_scheme_two = {
	.name = "two",
	.refuses = two_refuses,
	.resends = always_resends,
	.shares = true,
};
const struct poison_scheme poison_scheme_once = {
	.name = "once",
	.refuses = verdict_refuses,
	.resends = once_resends,
	.shares = true,
};
const struct poison_scheme poison_scheme_told = {
	.name = "told",
	.refuses = verdict_refuses,
	.resends = always_resends,
	.shares = true,
};
