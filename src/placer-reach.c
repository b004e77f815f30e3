/*
 * Asks a sample of hosts while members are silent: a placer that is cut off
 * from hosts must not take that for the end of sound replicas.
 */
#include "clock.h"
#include "event-log.h"
#include "placer.h"

/* Most hosts that are asked at a time: if half of all are reached, a sample of
 * this size rarely shows less by chance. */
#define SAMPLE_MAX 8
/* A host without an answer within this time counts as not reached. */
#define SAMPLE_TIMEOUT_MS 250
/* Minimum time between two samples. */
#define SAMPLE_INTERVAL_MS 300

/**
 * struct placer_sample - hosts that are being asked.
 * @placer: the placer
 * @asked_ms: loop time at which they were asked
 * @asked: number of these hosts
 * @answered: number of those that have answered
 * @pending: number of those whose query has not ended yet
 */
struct placer_sample {
	struct placer *placer;
	uint64_t asked_ms;
	unsigned asked;
	unsigned answered;
	unsigned pending;
};

/* Whether a member has not answered and is not yet taken for silent or dead. */
static bool
member_pending(const struct replica_member *m)
{
	return (m->silent_since_ms != 0 && m->liveness < MEMBER_SILENT);
}

/* The ids of all members that have not answered; sets whether any of them is
 * not yet taken for silent. */
static GHashTable *
silent_hosts(const struct placer *p, bool *pending)
{
	GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
	struct replica *r;

	*pending = false;
	TAILQ_FOREACH(r, &p->replicas, entry) {
		for (unsigned i = 0; i < r->n; i++) {
			const struct replica_member *m = &r->members[i];

			if (m->silent_since_ms != 0)
				g_hash_table_add(ids, m->id);
			*pending = *pending || member_pending(m);
		}
	}
	return (ids);
}

/* Whether a host of some service may be asked: it should answer. */
static bool
host_eligible(const struct placer *p, const struct endpoint *ep,
    GHashTable *silent)
{
	const struct catalog_service *service =
	    catalog_find_service(p->registry->catalog, ep->report.service);

	return (service != NULL && service->engine != NULL && !ep->gone &&
	    ep->lapsed_ms == 0 && ep->unreadable_ms == 0 &&
	    !g_hash_table_contains(silent, ep->report.id));
}

/* Logs a change of what is reached. */
static void
reach_log(const struct placer *p, unsigned asked, unsigned answered)
{
	event_log(LOG_NOTICE,
	    p->reach.lost ? "hosts_not_reached" : "hosts_reached",
	    "asked=%u answered=%u term=%lld", asked, answered,
	    (long long)p->term);
}

/* Ends a sample once all its queries have ended. */
static void
sample_end_query(struct placer_sample *sample)
{
	struct placer *p = sample->placer;

	if (--sample->pending > 0)
		return;
	if (replica_reach_note(&p->reach, sample->asked, sample->answered,
		sample->asked_ms))
		reach_log(p, sample->asked, sample->answered);
	p->sampling = false;
	g_free(sample);
}

static void
on_sample_report(void *arg, enum order_report_status status,
    struct endpoint_report *report)
{
	struct placer_sample *sample = arg;

	/* Another incarnation at the address is reached as well. */
	sample->answered += status != ORDER_REPORT_NONE;
	sample_end_query(sample);
}

/* Asks the given hosts, spread over the list, from a start that varies. */
static void
sample_begin(struct placer *p, const GPtrArray *hosts, uint64_t now_ms)
{
	struct placer_sample *sample = g_new0(struct placer_sample, 1);
	unsigned n = MIN(hosts->len, SAMPLE_MAX);

	sample->placer = p;
	sample->asked_ms = now_ms;
	sample->asked = n;
	/* One for this function itself. */
	sample->pending = n + 1;
	p->sampling = true;
	p->sampled_ms = now_ms;
	for (unsigned i = 0; i < n; i++) {
		struct endpoint *ep =
		    hosts->pdata[(now_ms + (uint64_t)i * hosts->len / n) %
			hosts->len];

		if (!p->orders->query(&ep->pool, ep->report.id,
			SAMPLE_TIMEOUT_MS, on_sample_report, sample))
			sample->pending--;
	}
	sample_end_query(sample);
}

/**
 * placer_check_reach() - ask a sample of hosts if members have not answered,
 *	once per SAMPLE_INTERVAL_MS.
 * @p: the placer, which holds the lease
 * @now_ms: loop time, in ms
 */
void
placer_check_reach(struct placer *p, uint64_t now_ms)
{
	g_autoptr(GHashTable) silent = NULL;
	g_autoptr(GPtrArray) hosts = NULL;
	struct endpoint *ep;
	bool pending;

	if (p->sampling || p->registry->catalog == NULL)
		return;
	silent = silent_hosts(p, &pending);
	if (!pending) {
		if (replica_reach_clear(&p->reach, now_ms))
			reach_log(p, 0, 0);
		return;
	}
	if (p->sampled_ms != 0 && now_ms - p->sampled_ms < SAMPLE_INTERVAL_MS)
		return;
	hosts = g_ptr_array_new();
	TAILQ_FOREACH(ep, &p->registry->fleet.endpoints, entry) {
		if (host_eligible(p, ep, silent))
			g_ptr_array_add(hosts, ep);
	}
	sample_begin(p, hosts, now_ms);
}
