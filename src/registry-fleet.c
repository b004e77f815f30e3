/* The endpoints and the replicas that they form, as last reported. */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "registry-fleet.h"
#include "event-log.h"
#include "net-address.h"

/* An unreadable entry is taken for lapsed after this time, which is how long an
 * entry lives without a heartbeat: three heartbeats of the endpoint would have
 * replaced it. */
#define UNREADABLE_MAX_MS 3600

/* A draining or rate-limited endpoint is remembered for this long after its
 * entry lapsed. It has ended by then, and with 500 of them a day only a few are
 * kept at a time. */
#define LAPSED_KEPT_MS 120000

/* Weight of the newest response in an endpoint's error rate. */
#define ERROR_ALPHA 0.1
/* Time constant at which an error rate fades: an endpoint that is avoided for
 * it gets few requests that could show that it has recovered. */
#define ERROR_FADE_MS 5000.0

/**
 * fleet_init() - initialize an empty fleet.
 * @fleet: the fleet
 * @loop: the event loop
 */
void
fleet_init(struct fleet *fleet, uv_loop_t *loop)
{
	fleet->loop = loop;
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->by_id_hash = g_hash_table_new(g_direct_hash, g_direct_equal);
	fleet->by_address = g_hash_table_new(g_direct_hash, g_direct_equal);
	TAILQ_INIT(&fleet->endpoints);
}

/* Key of an address. */
static gpointer
address_key(const struct sockaddr_in *addr)
{
	return ((gpointer)(uintptr_t)net_address_key(addr));
}

static void
endpoint_free(struct fleet *fleet, struct endpoint *ep)
{
	if (g_hash_table_lookup(fleet->by_id, ep->report.id) == ep)
		g_hash_table_remove(fleet->by_id, ep->report.id);
	if (fleet_find_by_hash(fleet, ep->id_hash) == ep)
		g_hash_table_remove(fleet->by_id_hash,
		    GUINT_TO_POINTER(ep->id_hash));
	if (fleet_find_by_address(fleet, &ep->pool.addr) == ep)
		g_hash_table_remove(fleet->by_address,
		    address_key(&ep->pool.addr));
	TAILQ_REMOVE(&fleet->endpoints, ep, entry);
	endpoint_report_clear(&ep->report);
	g_clear_pointer(&ep->entry_bytes, g_bytes_unref);
	g_free(ep->loaded_model);
	g_free(ep);
}

/**
 * fleet_clear() - free all endpoints, after the loop has ended.
 * @fleet: the fleet
 */
void
fleet_clear(struct fleet *fleet)
{
	struct endpoint *ep, *next;

	for (ep = TAILQ_FIRST(&fleet->endpoints); ep != NULL; ep = next) {
		next = TAILQ_NEXT(ep, entry);
		endpoint_free(fleet, ep);
	}
	g_hash_table_destroy(fleet->by_id);
	g_hash_table_destroy(fleet->by_id_hash);
	g_hash_table_destroy(fleet->by_address);
}

static struct endpoint *
endpoint_create(struct fleet *fleet, const struct endpoint_report *report)
{
	struct endpoint *ep = g_new0(struct endpoint, 1);

	ep->slowness = 1.0;
	ep->id_hash = XXH32(report->id, strlen(report->id), 0);
	g_hash_table_insert(fleet->by_id_hash, GUINT_TO_POINTER(ep->id_hash),
	    ep);
	net_pool_init(&ep->pool, fleet->loop, &report->address);
	g_hash_table_insert(fleet->by_address, address_key(&report->address),
	    ep);
	ep->pool.source = fleet->source;
	ep->pool.tunnels = fleet->tunnels;
	TAILQ_INSERT_TAIL(&fleet->endpoints, ep, entry);
	return (ep);
}

/* Logs a new endpoint, a change of state, draining or epoch, and the end of a
 * lapse. */
static void
endpoint_log_change(const struct endpoint *ep,
    const struct endpoint_report *next, uint64_t offset)
{
	const struct endpoint_report *old = &ep->report;

	if (old->id != NULL && old->state == next->state &&
	    old->draining == next->draining && old->epoch == next->epoch &&
	    ep->lapsed_ms == 0)
		return;
	event_log(LOG_INFO, "endpoint_changed",
	    "endpoint=%s service=%s group=%s epoch=%lld rank=%d state=%s "
	    "draining=%d offset=%llu",
	    next->id, next->service, next->group != NULL ? next->group : "-",
	    (long long)next->epoch, next->rank, group_state_name(next->state),
	    next->draining, (unsigned long long)offset);
}

/* An endpoint that leaves its group reports no model but has it loaded. */
static void
endpoint_note_model(struct endpoint *ep)
{
	if (ep->report.model == NULL ||
	    g_strcmp0(ep->loaded_model, ep->report.model) == 0)
		return;
	g_free(ep->loaded_model);
	ep->loaded_model = g_strdup(ep->report.model);
}

/* Whether it ended other than by a lapse, which an outage may cause. */
static bool
endpoint_ended(const struct endpoint *ep)
{
	return (ep->gone && ep->lapsed_ms == 0);
}

/*
 * Retires an incarnation whose id another one has taken. Nothing that was
 * learned of it carries over, and exchanges that reference it find it gone.
 */
static void
endpoint_retire(struct fleet *fleet, struct endpoint *ep,
    const struct endpoint_report *next, uint64_t now_ms)
{
	event_log(LOG_NOTICE, "endpoint_restarted",
	    "endpoint=%s started_ms=%lld was=%lld sequence=%lld was_sequence=%lld "
	    "seen_ms_ago=%llu",
	    next->id, (long long)next->started_ms,
	    (long long)ep->report.started_ms, (long long)next->sequence,
	    (long long)ep->report.sequence,
	    (unsigned long long)(now_ms - ep->seen_ms));
	g_hash_table_remove(fleet->by_id, ep->report.id);
	g_hash_table_remove(fleet->by_id_hash, GUINT_TO_POINTER(ep->id_hash));
	endpoint_mark_gone(ep);
	if (ep->lapsed_ms == 0)
		ep->lapsed_ms = MAX(now_ms, 1);
}

/**
 * fleet_update() - apply a report.
 * @fleet: the fleet
 * @report: the report; moved into the fleet and left empty
 * @offset: store offset of the report; one older than the known has no effect
 * @now_ms: loop time
 *
 * Return: the endpoint.
 */
struct endpoint *
fleet_update(struct fleet *fleet, struct endpoint_report *report,
    uint64_t offset, uint64_t now_ms)
{
	struct endpoint *ep = fleet_find(fleet, report->id);
	enum incarnation whose = ep != NULL ?
	    incarnation_compare(&ep->report, report) :
	    INCARNATION_NEWER;

	if (ep != NULL &&
	    (offset < ep->offset || whose == INCARNATION_OLDER ||
		(whose == INCARNATION_SAME && endpoint_ended(ep)))) {
		endpoint_report_clear(report);
		return (ep);
	}
	if (ep != NULL && whose == INCARNATION_NEWER)
		endpoint_retire(fleet, ep, report, now_ms);
	if (whose == INCARNATION_NEWER)
		ep = endpoint_create(fleet, report);
	if (report->started_ms == 0)
		report->started_ms = ep->report.started_ms;
	endpoint_log_change(ep, report, offset);
	if (ep->report.id != NULL)
		g_hash_table_remove(fleet->by_id, ep->report.id);
	endpoint_report_clear(&ep->report);
	ep->report = *report;
	memset(report, 0, sizeof *report);
	g_hash_table_insert(fleet->by_id, ep->report.id, ep);
	endpoint_note_model(ep);
	ep->offset = offset;
	ep->seen_ms = now_ms;
	ep->lapsed_ms = 0;
	ep->unreadable_ms = 0;
	ep->gone = false;
	/* An incarnation that drains never serves again. */
	ep->draining = ep->draining || ep->report.draining;
	return (ep);
}

/**
 * fleet_report_differs() - whether a report is more than a heartbeat: the
 * endpoint is new or back, or something has changed.
 * @fleet: the fleet
 * @report: the report
 */
bool
fleet_report_differs(const struct fleet *fleet,
    const struct endpoint_report *report)
{
	const struct endpoint *ep = fleet_find(fleet, report->id);

	return (ep == NULL || ep->lapsed_ms != 0 || ep->gone ||
	    ep->unreadable_ms != 0 ||
	    endpoint_report_differs(&ep->report, report));
}

/**
 * fleet_serving_differs() - whether a report changes where requests may be
 * sent.
 * @fleet: the fleet
 * @report: the report
 * @grouped: the service's endpoints form groups
 *
 * Most changes in a large fleet are of hosts that form groups or copy models.
 * Only the placer needs these.
 */
bool
fleet_serving_differs(const struct fleet *fleet,
    const struct endpoint_report *report, bool grouped)
{
	const struct endpoint *ep = fleet_find(fleet, report->id);

	return (fleet_report_differs(fleet, report) &&
	    (endpoint_report_serves(report, grouped) ||
		(ep != NULL && endpoint_report_serves(&ep->report, grouped))));
}

/**
 * endpoint_set_entry() - keep an endpoint's encoded entry if it may be sent
 * requests.
 * @ep: the endpoint, just updated from the entry
 * @grouped: the service's endpoints form groups
 * @bytes: the entry
 * @length: length of the entry
 */
void
endpoint_set_entry(struct endpoint *ep, bool grouped, const void *bytes,
    size_t length)
{
	g_clear_pointer(&ep->entry_bytes, g_bytes_unref);
	if (endpoint_report_serves(&ep->report, grouped))
		ep->entry_bytes = g_bytes_new(bytes, length);
}

/**
 * fleet_mark_unreadable() - note that an endpoint's entry can't be read, so
 * that no new requests are sent to it.
 * @fleet: the fleet
 * @id: the endpoint's id
 * @offset: store offset of the entry; older entries don't replace it
 * @now_ms: loop time
 *
 * Another program may have written the entry, so the endpoint's group is kept
 * until the next heartbeats should have replaced it.
 */
void
fleet_mark_unreadable(struct fleet *fleet, const char *id, uint64_t offset,
    uint64_t now_ms)
{
	struct endpoint *ep = fleet_find(fleet, id);

	if (ep == NULL || offset < ep->offset)
		return;
	ep->offset = offset;
	if (ep->unreadable_ms == 0)
		ep->unreadable_ms = MAX(now_ms, 1);
}

/**
 * fleet_lapse() - note that an endpoint's entry was removed.
 * @fleet: the fleet
 * @id: the endpoint's id
 * @offset: store offset of the removal, or one before it; 0 if there is none
 * @now_ms: loop time
 * @outage: it may have lapsed because of a store outage and be written again
 *
 * An entry from before the removal, which is read again, has no effect then.
 */
void
fleet_lapse(struct fleet *fleet, const char *id, uint64_t offset,
    uint64_t now_ms, bool outage)
{
	struct endpoint *ep = fleet_find(fleet, id);

	if (ep == NULL || ep->lapsed_ms != 0)
		return;
	ep->offset = MAX(ep->offset, offset);
	ep->lapsed_ms = now_ms > 0 ? now_ms : 1;
	ep->may_return = outage;
	event_log(LOG_INFO, "endpoint_lapsed",
	    "endpoint=%s seen_ms_ago=%llu may_return=%d", id,
	    (unsigned long long)(now_ms - ep->seen_ms), outage);
}

/**
 * endpoint_expected() - whether an endpoint is expected to serve: its entry is
 *	there, or lapsed in an outage of the store and may be written again.
 * @ep: the endpoint
 */
bool
endpoint_expected(const struct endpoint *ep)
{
	return (!ep->gone && (ep->lapsed_ms == 0 || ep->may_return));
}

/**
 * fleet_find() - find an endpoint by its id.
 * @fleet: the fleet
 * @id: the endpoint's id
 *
 * Return: the newest incarnation, or NULL.
 */
struct endpoint *
fleet_find(const struct fleet *fleet, const char *id)
{
	return (g_hash_table_lookup(fleet->by_id, id));
}

/**
 * fleet_find_by_hash() - find an endpoint by the hash of its id.
 * @fleet: the fleet
 * @id_hash: the hash
 *
 * Return: the newest incarnation, or NULL.
 */
struct endpoint *
fleet_find_by_hash(const struct fleet *fleet, uint32_t id_hash)
{
	return (
	    g_hash_table_lookup(fleet->by_id_hash, GUINT_TO_POINTER(id_hash)));
}

/**
 * fleet_find_by_address() - find an endpoint by its address.
 * @fleet: the fleet
 * @addr: the address
 *
 * Return: the newest endpoint at the address, or NULL.
 */
struct endpoint *
fleet_find_by_address(const struct fleet *fleet, const struct sockaddr_in *addr)
{
	return (g_hash_table_lookup(fleet->by_address, address_key(addr)));
}

/**
 * endpoint_mark_gone() - send no more requests to an endpoint.
 * @ep: the endpoint
 */
void
endpoint_mark_gone(struct endpoint *ep)
{
	if (ep->gone)
		return;
	ep->gone = true;
	net_pool_clear(&ep->pool);
	event_log(LOG_NOTICE, "endpoint_gone", "endpoint=%s inflight=%u",
	    ep->report.id, ep->inflight);
}

/*
 * Whether an endpoint must be kept after its entry lapsed. The incarnation may
 * live on and its entry be written again; its backoff, its draining and its
 * rate limit then still apply.
 */
static bool
fleet_keeps_lapsed(const struct fleet *fleet, const struct endpoint *ep,
    uint64_t now_ms)
{
	if (fleet_find(fleet, ep->report.id) != ep)
		return (false);
	return (endpoint_backoff_active(&ep->backoff, now_ms) ||
	    ((ep->draining || ep->limit.named) &&
		now_ms - ep->lapsed_ms < LAPSED_KEPT_MS));
}

/**
 * fleet_sweep() - mark lapsed endpoints as gone and free those without
 * references.
 * @fleet: the fleet
 * @now_ms: loop time
 * @all: include endpoints that lapsed during a store outage
 */
void
fleet_sweep(struct fleet *fleet, uint64_t now_ms, bool all)
{
	struct endpoint *ep = TAILQ_FIRST(&fleet->endpoints);

	while (ep != NULL) {
		struct endpoint *next = TAILQ_NEXT(ep, entry);

		net_pool_expire(&ep->pool);
		if (endpoint_backoff_ended(&ep->backoff, now_ms))
			event_log(LOG_INFO, "endpoint_rest_over",
			    "endpoint=%s inflight=%u", ep->report.id,
			    ep->inflight);
		if (ep->unreadable_ms != 0 &&
		    now_ms - ep->unreadable_ms >= UNREADABLE_MAX_MS)
			fleet_lapse(fleet, ep->report.id, 0, now_ms, false);
		if (!ep->gone && ep->lapsed_ms != 0 && (all || !ep->may_return))
			endpoint_mark_gone(ep);
		if (ep->gone && ep->lapsed_ms != 0 && ep->refs == 0 &&
		    ep->pool.n_open == 0 &&
		    !fleet_keeps_lapsed(fleet, ep, now_ms))
			endpoint_free(fleet, ep);
		ep = next;
	}
}

/**
 * endpoint_accepts() - whether neither an endpoint nor the operator has
 * declined new requests to it.
 * @ep: the endpoint
 * @now_ms: loop time
 *
 * If one has, by draining, backoff, its end or an evacuation, nothing is sent
 * to it, not even as a last resort.
 */
bool
endpoint_accepts(const struct endpoint *ep, uint64_t now_ms)
{
	return (!ep->gone && !ep->draining && !ep->evacuated &&
	    ep->unreadable_ms == 0 &&
	    !endpoint_backoff_active(&ep->backoff, now_ms));
}

/**
 * endpoint_suspected() - whether an endpoint was found silent and no daemon has
 *	heard from it since.
 * @ep: the endpoint
 */
bool
endpoint_suspected(const struct endpoint *ep)
{
	return (MAX(ep->warned_ms, ep->avoided_ms) >
	    MAX(ep->heard_ms, ep->peer_heard_ms));
}

/**
 * endpoint_usable() - whether an endpoint accepts new requests and is in no
 * cooldown.
 * @ep: the endpoint
 * @now_ms: loop time
 */
bool
endpoint_usable(const struct endpoint *ep, uint64_t now_ms)
{
	return (
	    endpoint_accepts(ep, now_ms) && now_ms >= ep->cooldown_until_ms);
}

/**
 * endpoint_error_rate() - share of an endpoint's recent responses that are
 *	failures.
 * @ep: the endpoint
 * @now_ms: loop time
 *
 * Return: 0 to 1.
 */
double
endpoint_error_rate(const struct endpoint *ep, uint64_t now_ms)
{
	double elapsed = (double)(now_ms - MIN(ep->error_ms, now_ms));

	return (ep->error_rate * exp(-elapsed / ERROR_FADE_MS));
}

/**
 * endpoint_count_outcome() - count the outcome of a request at an endpoint.
 * @ep: the endpoint
 * @failed: it failed
 * @now_ms: loop time
 */
void
endpoint_count_outcome(struct endpoint *ep, bool failed, uint64_t now_ms)
{
	double rate = endpoint_error_rate(ep, now_ms);

	ep->error_rate = rate + ERROR_ALPHA * ((failed ? 1.0 : 0.0) - rate);
	ep->error_ms = now_ms;
	ep->failures = failed ? ep->failures + 1 : 0;
}
