/* Work that ends each endpoint that runs it, before many daemons, in virtual
 * time. */
#include "poison-model.h"

/* From the send to the end of the endpoint: about a wait for a place and the
 * first step. */
#define RUN_MS 400
/* Sends of one attempt. */
#define SENDS_MOST 2
/* After this many ends daemons have so long until arrivals count. */
#define TOLD_ENDS 3
#define STABLE_MS 3000
/* Requests of others on an endpoint, and how many of them met an end before. */
#define OTHERS 25
#define MEET_THOUSANDTHS 100
#define MS_PER_S 1000
/* Fingerprints of bystanders begin here. */
#define BYSTANDERS 1000000u

/**
 * poison_model_new() - works that have ended nothing yet.
 * @fleet: the daemons
 * @way: how they bound what such work does
 * @per_s: attempts a second of each work
 * @works: how many works
 */
struct poison_model *
poison_model_new(struct fleet_model *fleet, const struct poison_scheme *way,
    double per_s, unsigned works)
{
	struct poison_model *m = g_new0(struct poison_model, 1);

	m->fleet = fleet;
	m->scheme = way;
	m->per_s = per_s;
	m->n_requests = works;
	m->attempts = g_array_new(FALSE, FALSE, sizeof(struct poison_attempt));
	m->bystanders = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	m->third_crash_ms = g_new0(uint64_t, works);
	m->crashes = g_new0(unsigned, works);
	m->n_late = g_new0(unsigned, works);
	m->next_fingerprint = BYSTANDERS;
	return (m);
}

/**
 * poison_model_free() - free the works, not the daemons.
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
model_poison(const struct poison_model *m, unsigned at)
{
	return (&m->fleet->daemons[at].registry.poison);
}

/* A daemon sees that an endpoint ended while it had some work there. */
static void
model_lose(struct poison_model *m, unsigned at, uint64_t work)
{
	const struct poison_crash end = {
		.id_hash = m->n_crashes,
		.at_ms = m->fleet->now_ms,
	};

	if (m->fleet->daemons[at].up)
		poison_observe_crash(model_poison(m, at), work, &end,
		    m->fleet->now_ms);
}

/* The others on the endpoint: some that met an end before, the rest new. */
static void
model_lose_others(struct poison_model *m)
{
	GArray *met = m->bystanders;

	m->bystanders = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (unsigned i = 0; i < OTHERS; i++) {
		unsigned at = fleet_model_random(m->fleet, m->fleet->n);
		uint64_t work = m->next_fingerprint;

		if (i < met->len &&
		    fleet_model_random(m->fleet, MS_PER_S) < MEET_THOUSANDTHS)
			work = g_array_index(met, uint64_t, i);
		else
			m->next_fingerprint++;
		g_array_append_val(m->bystanders, work);
		model_lose(m, at, work);
	}
	g_array_free(met, TRUE);
}

/* Sends some work, unless the daemon refuses it. */
static void
model_send(struct poison_model *m, unsigned at, uint64_t work, unsigned sends)
{
	uint64_t now = m->fleet->now_ms;
	unsigned of = (unsigned)work - 1;
	const struct poison_attempt run = {
		.fingerprint = work,
		.daemon = at,
		.sends = sends + 1,
		.crash_ms = now + RUN_MS,
	};

	if (!m->fleet->daemons[at].up || m->scheme->refuses(m, at, work))
		return;
	m->n_late[of] += m->third_crash_ms[of] != 0 &&
	    now - m->third_crash_ms[of] >= STABLE_MS;
	g_array_append_val(m->attempts, run);
}

/* An endpoint ends under the work that it runs. */
static void
model_end(struct poison_model *m, const struct poison_attempt *run)
{
	unsigned of = (unsigned)run->fingerprint - 1;

	m->n_crashes++;
	m->last_crash_ms = m->fleet->now_ms;
	if (++m->crashes[of] == TOLD_ENDS)
		m->third_crash_ms[of] = m->fleet->now_ms;
	model_lose(m, run->daemon, run->fingerprint);
	model_lose_others(m);
	if (run->sends < SENDS_MOST &&
	    m->scheme->resends(m, run->daemon, run->fingerprint))
		model_send(m, run->daemon, run->fingerprint, run->sends);
}

static void
model_end_due(struct poison_model *m)
{
	for (guint i = 0; i < m->attempts->len;) {
		struct poison_attempt run =
		    g_array_index(m->attempts, struct poison_attempt, i);

		if (run.crash_ms > m->fleet->now_ms) {
			i++;
			continue;
		}
		g_array_remove_index(m->attempts, i);
		model_end(m, &run);
	}
}

/* Where daemons don't tell each other, nothing of this is news. */
static void
model_hush(struct poison_model *m)
{
	for (unsigned i = 0; i < m->fleet->n; i++) {
		struct poison_request *w;

		if (!m->fleet->daemons[i].up)
			continue;
		TAILQ_FOREACH(w, &model_poison(m, i)->requests, entry)
			w->changed_ms = 0;
		m->fleet->daemons[i].mesh.newcomer_ms = 0;
		for (unsigned k = 0; k < MESH_KINDS; k++)
			m->fleet->daemons[i].mesh.poison_sent_ms[k] =
			    m->fleet->now_ms;
	}
}

/**
 * poison_model_run() - let time pass.
 * @m: the model
 * @ms: how much
 */
void
poison_model_run(struct poison_model *m, uint64_t ms)
{
	while (ms-- > 0) {
		if (!m->scheme->shares)
			model_hush(m);
		fleet_model_run(m->fleet, 1);
		model_end_due(m);
		for (unsigned i = 0; i < m->n_requests; i++) {
			if (fleet_model_random(m->fleet, MS_PER_S) < m->per_s)
				model_send(m,
				    fleet_model_random(m->fleet, m->fleet->n),
				    i + 1, 0);
		}
	}
}

static unsigned
most_of(const unsigned *counts, unsigned n)
{
	unsigned most = 0;

	for (unsigned i = 0; i < n; i++)
		most = MAX(most, counts[i]);
	return (most);
}

/**
 * poison_model_crashes_max() - the most endpoints that one work ended.
 * @m: the model
 */
unsigned
poison_model_crashes_max(const struct poison_model *m)
{
	return (most_of(m->crashes, m->n_requests));
}

/**
 * poison_model_late_max() - the most late sends of one work.
 * @m: the model
 */
unsigned
poison_model_late_max(const struct poison_model *m)
{
	return (most_of(m->n_late, m->n_requests));
}

/**
 * poison_model_refused() - bystanders that some daemon refuses.
 * @m: the model
 */
unsigned
poison_model_refused(const struct poison_model *m)
{
	unsigned n = 0;

	for (uint64_t work = BYSTANDERS; work < m->next_fingerprint; work++) {
		for (unsigned i = 0; i < m->fleet->n; i++) {
			if (!m->fleet->daemons[i].up ||
			    !m->scheme->refuses(m, i, work))
				continue;
			n++;
			break;
		}
	}
	return (n);
}

/* The daemons' own verdict. */
static bool
told_refuses(const struct poison_model *m, unsigned at, uint64_t work)
{
	const struct registry *registry = &m->fleet->daemons[at].registry;
	const struct poison_request *w = poison_find(&registry->poison, work);
	struct poison_verdict verdict;

	if (w == NULL)
		return (false);
	poison_evaluate(&registry->poison, &registry->fleet, w,
	    m->fleet->now_ms, &verdict);
	return (verdict.until_ms != 0);
}

static bool
always_repeats(const struct poison_model *m, unsigned at, uint64_t work)
{
	return (true);
}

/* Only what has ended no other endpoint. */
static bool
once_repeats(const struct poison_model *m, unsigned at, uint64_t work)
{
	const struct registry *registry = &m->fleet->daemons[at].registry;

	return (poison_may_retry(&registry->poison, &registry->fleet, work,
	    m->fleet->now_ms));
}

/* After the second end already. */
static bool
two_refuses(const struct poison_model *m, unsigned at, uint64_t work)
{
	const struct poison_request *w = poison_find(model_poison(m, at), work);

	return (w != NULL && w->n_crashes >= 2);
}

const struct poison_scheme poison_scheme_alone = {
	.name = "alone",
	.refuses = told_refuses,
	.resends = always_repeats,
};
const struct poison_scheme poison_scheme_two = {
	.name = "two",
	.refuses = two_refuses,
	.resends = always_repeats,
	.shares = true,
};
const struct poison_scheme poison_scheme_once = {
	.name = "once",
	.refuses = told_refuses,
	.resends = once_repeats,
	.shares = true,
};
const struct poison_scheme poison_scheme_told = {
	.name = "told",
	.refuses = told_refuses,
	.resends = always_repeats,
	.shares = true,
};
