/* When this daemon reads the store itself, and what it tells the others of it.
 */
#include "clock.h"
#include "edge.h"
#include "event-log.h"

/* Fractions of apply-ms after which the first and the last daemon that hear
 * nothing of the configuration read the store themselves. The rest of the time
 * is for that read and for sending its result to the others. What a daemon that
 * has nothing to report sends is up to 1.1 s old. */
#define CONFIG_FALLBACK_MIN 0.6
#define CONFIG_FALLBACK_MAX 0.8
/* The same fractions of drain-ms; the first is the time of two missed reads. */
#define ENDPOINT_FALLBACK_MIN 0.5
#define ENDPOINT_FALLBACK_MAX 0.7
/* Pause after a failed read of the daemons' addresses. */
#define ADDRESSES_RETRY_MS 400
/* At its start a daemon waits this long for a relay, and this long for data
 * from a relay that is alive but has none yet, since that one reads the store
 * first. Then the daemon reads the store itself. */
#define STARTUP_RELAY_WAIT_MS 1500
#define STARTUP_DATA_WAIT_MS 4000
#define STARTUP_POLL_MS 20

/**
 * edge_choose_reader() - decide whether this daemon reads the store for all
 * that hear it.
 * @e: the daemon
 *
 * The placer does, since it needs the entries first, or else the
 * highest-ranking daemon that reaches the store. In a network partition each
 * side has its own reader.
 */
void
edge_choose_reader(struct edge *e)
{
	bool is_placer = e->placer.state == PLACER_HOLDING;
	bool reader = is_placer ||
	    (!mesh_placer_heard(&e->mesh) && mesh_is_reader(&e->mesh));

	topic_follower_set_reader(&e->registry.config, reader);
	/* Before a daemon takes the lease it reads all entries itself. */
	topic_follower_set_reader(&e->registry.endpoints,
	    reader || e->placer.preparing || e->placer.state != PLACER_IDLE);
}

/* Returns a fraction of a setting in milliseconds. */
static unsigned
fraction_ms(int64_t bound_ms, double fraction)
{
	return ((unsigned)((double)bound_ms * fraction));
}

/* Returns when this daemon reads the store itself, for a bound on changes and
 * the parts of it after which the first and the last daemon do. */
static struct registry_fallback
edge_fallback(const struct edge *e, int64_t bound_ms, double min, double max)
{
	struct registry_fallback fallback;

	fallback.after_ms = mesh_stale_after_ms(&e->mesh,
	    fraction_ms(bound_ms, min), fraction_ms(bound_ms, max));
	fallback.retry_ms = mesh_retry_ms(&e->mesh, fallback.after_ms);
	return (fallback);
}

/**
 * edge_update_fallback() - set how old updates from peers may get before this
 * daemon reads the store itself.
 * @e: the daemon
 */
void
edge_update_fallback(struct edge *e)
{
	const struct registry_fallback config = edge_fallback(e,
	    e->set.apply_ms, CONFIG_FALLBACK_MIN, CONFIG_FALLBACK_MAX);
	const struct registry_fallback endpoints = edge_fallback(e,
	    e->set.drain_ms, ENDPOINT_FALLBACK_MIN, ENDPOINT_FALLBACK_MAX);

	registry_set_fallback(&e->registry, &config, &endpoints);
	e->daemons.retry_ms = mesh_retry_ms(&e->mesh, ADDRESSES_RETRY_MS);
}

/**
 * edge_check_entries() - log when the entries of endpoints become older than
 * drain-ms, so that requests may be sent to endpoints that have drained, and
 * when they are current again.
 * @e: the daemon
 */
void
edge_check_entries(struct edge *e)
{
	const struct topic_follower *f = &e->registry.endpoints;
	uint64_t age = topic_follower_copy_age(f, clock_loop_ms(e->loop));
	bool stale = f->synced && age >= (uint64_t)e->set.drain_ms;

	if (stale == e->entries_stale)
		return;
	e->entries_stale = stale;
	event_log(stale ? LOG_WARNING : LOG_NOTICE,
	    stale ? "entries_stale" : "entries_current",
	    "age_ms=%lld next=%llu told=%llu gap_from=%llu requests=%u "
	    "failures=%u reader=%d",
	    (long long)MIN(age, INT64_MAX), (unsigned long long)f->next,
	    (unsigned long long)e->mesh.feed_end,
	    (unsigned long long)e->mesh.repair.gap_from,
	    e->mesh.repair.n_requests, f->failures, f->reader);
}

/*
 * Starts to read the store unless another daemon sends its contents: a relay
 * reads at once, any other daemon if nothing arrives in time. Hundreds of
 * daemons that each read all entries keep the store busy for seconds.
 */
static void
on_startup_timer(uv_timer_t *timer)
{
	struct edge *e = timer->data;
	const struct mesh *mesh = &e->mesh;
	uint64_t since = clock_loop_ms(e->loop) - mesh->opened_ms;
	/* A daemon that knows no other waits until its own address is written,
	 * as others may be about to write theirs. */
	bool read_now = mesh->records_read_ms != 0 && mesh->relay == NULL &&
	    (mesh->n_peers > 0 || e->announced);

	if (e->registry.endpoints.synced && e->registry.catalog != NULL) {
		uv_timer_stop(timer);
		/* Daemons that report to this one wait for the data. */
		mesh_send_now(&e->mesh);
		return;
	}
	if (read_now ||
	    since >= (mesh_relay_alive(mesh) ? STARTUP_DATA_WAIT_MS :
					       STARTUP_RELAY_WAIT_MS))
		registry_release(&e->registry);
}

/**
 * edge_start_reading() - begin to read the store, or to wait for peers.
 * @e: the daemon
 */
void
edge_start_reading(struct edge *e)
{
	uv_timer_init(e->loop, &e->startup_timer);
	e->startup_timer.data = e;
	uv_timer_start(&e->startup_timer, on_startup_timer, STARTUP_POLL_MS,
	    STARTUP_POLL_MS);
}

/* Whether the configuration is new since the last change of the registry, and
 * not from this daemon's relay: the others are then sent it at once. */
static bool
edge_config_is_news(const struct edge *e, int64_t version)
{
	const struct mesh_peer *relay = e->mesh.relay;

	return (version != e->notified_version &&
	    (relay == NULL || relay->config_version < version));
}

/* The same for the evacuated failure domains. */
static bool
edge_evacuations_are_news(const struct edge *e)
{
	const struct mesh_peer *relay = e->mesh.relay;
	uint64_t as_of = e->registry.evacuations.as_of;

	return (as_of != e->notified_evacuations &&
	    (relay == NULL || relay->evacuations_as_of < as_of));
}

/**
 * edge_registry_changed() - handle a change of the configuration or an
 * endpoint.
 * @arg: the struct edge
 */
void
edge_registry_changed(void *arg)
{
	struct edge *e = arg;
	int64_t version =
	    e->registry.catalog != NULL ? e->registry.catalog->version : -1;

	if (e->mesh.loop != NULL &&
	    (edge_config_is_news(e, version) || edge_evacuations_are_news(e)))
		mesh_send_now(&e->mesh);
	e->notified_version = version;
	e->notified_evacuations = e->registry.evacuations.as_of;
	if (!TAILQ_EMPTY(&e->fwd.queue))
		fwd_schedule_dispatch(&e->fwd);
	placer_schedule_pass(&e->placer);
}
