/* The daemon before the users' endpoints: all parts on one event loop. */
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "clock.h"
#include "edge.h"
#include "error.h"
#include "event-log.h"

#define EXIT_BAD_SETTING 2
/* How often lines are written out and lapsed things looked at. */
#define SECOND_MS 250
/* Looks between two looks at the settings file. */
#define FILE_LOOKS 8
/* Looks between two lines of counters. */
#define COUNTER_LOOKS 40
/* A call to the store; slow stores answer in some hundred ms. */
#define STORE_TIMEOUT_MS 1200
/* Kept back from the bound on keys: a proof is used this much shorter. */
#define KEY_MARGIN_MS 500
/* The configuration is read this often within the bound on keys, so that a
 * proof that came by way of others is still young. */
#define CONFIG_READS 10
/* Parts of the bound within which a configuration is in force after which the
 * first daemon that hears of none reads itself, and the last; the rest is for
 * the reading, and for telling the others of it. A word of a daemon that has
 * nothing to report is up to 1.1 s old. */
#define CONFIG_LEAST 0.6
#define CONFIG_MOST 0.8
/* Endpoints are read this often within the bound on leaving ones. */
#define ENDPOINT_READS 4
/* The same parts of that bound: two reads that were missed, and the last. */
#define ENDPOINT_LEAST 0.5
#define ENDPOINT_MOST 0.7
/* At its start a daemon waits this long for a relay before it reads the store,
 * and this long for one that has nothing to tell yet: that reads it first. */
#define HOLD_MS 1500
#define HOLD_LED_MS 4000
#define HOLD_LOOK_MS 20
/* Up to so many daemons read the store for themselves at their start where
 * callers come already. With four hosts a daemon and 350 bytes an entry that is
 * 23 MB, 0.3 s of what the store gives; with 295 daemons it was 1.5 s. */
#define HOLD_DAEMONS_MOST 128
/* A balancer that asks each second and drops after two misses has moved on
 * by then. */
#define LEAVE_ACCEPT_MS 3000
#define LEAVE_LOOK_MS 50
/* Kept back from the grace time. */
#define LEAVE_MARGIN_MS 700

/* Capacities of daemons are compared in thousandths of a core. */
#define CAPACITY_UNIT 1000

static const int signal_numbers[] = { SIGTERM, SIGINT, SIGHUP };

static bool
address_of(const char *text, struct sockaddr_in *addr)
{
	g_autofree char *ip = NULL;
	uint16_t port;

	return (setting_split_address(text, &ip, &port) &&
	    uv_ip4_addr(ip, port, addr) == 0);
}

/* When a file last changed; 0 where it can't be read. */
static uint64_t
file_changed_ns(const char *path)
{
	struct stat st;

	if (path[0] == '\0' || stat(path, &st) != 0)
		return (0);
	return ((uint64_t)st.st_mtim.tv_sec * 1000000000u +
	    (uint64_t)st.st_mtim.tv_nsec);
}

/**
 * edge_apply_settings() - put the settings that may change into force.
 * @e: the daemon
 */
void
edge_apply_settings(struct edge *e)
{
	struct fwd_setting *set = &e->fwd.set;

	event_log_open("banklift-edge", event_log_level(e->set.log_level));
	set->domain = e->set.domain;
	set->key_proof_ms = (uint64_t)MAX(e->set.key_proof_ms - KEY_MARGIN_MS,
	    e->set.key_proof_ms / 2);
	set->keys_fail_closed = e->set.keys_fail_closed;
	set->backoff_max_ms = (uint64_t)e->set.rest_most_ms;
	set->deny_proof_ms = (uint64_t)e->set.apply_ms;
	e->placer.stall_ms = (uint64_t)e->set.stall_ms;
	set->released_fingerprints = e->set.released_works;
	set->refused_fingerprints = e->set.refused_works;
	set->retry.ratio = e->set.retry_ratio;
	set->retry.slack = e->set.retry_slack;
	set->retry.window_ms = (uint64_t)(e->set.retry_window_s * 1000);
}

/**
 * edge_reload() - read the settings again.
 * @e: the daemon
 * @reason: for the log
 */
void
edge_reload(struct edge *e, const char *reason)
{
	g_autoptr(GError) error = NULL;
	struct edge_settings next;

	if (!edge_setting_parse(&next, e->argc, e->argv, &error)) {
		event_log(LOG_ERR, "reload_refused", "why=%s reason=%s", reason,
		    error->message);
		edge_setting_free(&next);
		return;
	}
	/* What the sockets and peers were made with stays until a restart. */
	e->set.key_proof_ms = next.key_proof_ms;
	e->set.keys_fail_closed = next.keys_fail_closed;
	e->set.apply_ms = next.apply_ms;
	e->set.drain_ms = next.drain_ms;
	e->set.grace_s = next.grace_s;
	e->set.rest_most_ms = next.rest_most_ms;
	e->set.stall_ms = next.stall_ms;
	e->set.retry_ratio = next.retry_ratio;
	e->set.retry_window_s = next.retry_window_s;
	e->set.retry_slack = next.retry_slack;
	g_free(e->set.released_works);
	e->set.released_works = g_steal_pointer(&next.released_works);
	g_free(e->set.refused_works);
	e->set.refused_works = g_steal_pointer(&next.refused_works);
	g_free(e->set.log_level);
	e->set.log_level = g_steal_pointer(&next.log_level);
	edge_setting_free(&next);
	edge_apply_settings(e);
	event_log(LOG_NOTICE, "reloaded", "why=%s", reason);
}

/* Ends the loop; what still runs ends with the process. */
static void
edge_stop(struct edge *e, const char *reason)
{
	event_log(LOG_NOTICE, "stopped", "reason=%s exchanges=%u", reason,
	    e->fwd.n_exchanges);
	event_log_flush();
	uv_stop(e->loop);
}

static void
on_leave(uv_timer_t *timer)
{
	struct edge *e = timer->data;
	uint64_t since = clock_loop_ms(e->loop) - e->draining_since_ms;
	uint64_t grace = (uint64_t)(e->set.grace_s * 1000);

	if (since >= LEAVE_ACCEPT_MS) {
		fwd_stop_listening(&e->fwd);
		fwd_close_conns(&e->fwd, false);
		if (e->fwd.n_exchanges == 0 && fwd_conns_drained(&e->fwd)) {
			edge_stop(e, "drained");
			return;
		}
	}
	if (since + LEAVE_MARGIN_MS >= grace) {
		fwd_close_conns(&e->fwd, true);
		edge_stop(e, "grace_over");
	}
}

/**
 * edge_drain() - end gracefully: be taken out of rotation, then finish.
 * @e: the daemon
 */
void
edge_drain(struct edge *e)
{
	if (e->draining_since_ms != 0)
		return;
	e->draining_since_ms = clock_loop_ms(e->loop);
	event_log(LOG_NOTICE, "leaving", "exchanges=%u", e->fwd.n_exchanges);
	placer_stop(&e->placer);
	e->mesh.self.draining = true;
	mesh_send_now(&e->mesh);
	fwd_drain(&e->fwd);
	uv_timer_start(&e->drain_timer, on_leave, LEAVE_LOOK_MS, LEAVE_LOOK_MS);
}

static void
on_signal(uv_signal_t *handle, int number)
{
	struct edge *e = handle->data;

	if (number == SIGHUP)
		edge_reload(e, "signal");
	else
		edge_drain(e);
}

/*
 * One daemon reads the store for all that hear it: the placer, since it needs
 * what it reads first, or the first one that reaches the store. In a cut each
 * side has its own.
 */
static void
edge_choose_reader(struct edge *e)
{
	bool places = e->placer.state == PLACER_HOLDING;
	bool reader = places ||
	    (!mesh_placer_heard(&e->mesh) && mesh_is_reader(&e->mesh));

	topic_follower_set_reader(&e->registry.config, reader);
	/* One that takes the lease reads all entries for itself first. */
	topic_follower_set_reader(&e->registry.endpoints,
	    reader || e->placer.preparing || e->placer.state != PLACER_IDLE);
}

/* A part of a bound of the settings, in milliseconds. */
static unsigned
part_ms(int64_t bound_ms, double part)
{
	return ((unsigned)((double)bound_ms * part));
}

/* Sets how old others' news may get before this daemon reads for itself. */
static void
edge_choose_patience(struct edge *e)
{
	const struct mesh *mesh = &e->mesh;
	const struct edge_settings *set = &e->set;

	registry_set_fallback(&e->registry,
	    mesh_stale_after_ms(mesh, part_ms(set->apply_ms, CONFIG_LEAST),
		part_ms(set->apply_ms, CONFIG_MOST)),
	    mesh_stale_after_ms(mesh, part_ms(set->drain_ms, ENDPOINT_LEAST),
		part_ms(set->drain_ms, ENDPOINT_MOST)),
	    mesh_relay_alive(mesh));
}

/* One line now and then with what was counted, for those with logs only. */
static void
edge_log_counters(struct edge *e)
{
	const uint64_t *counts = e->fwd.stats.counts;
	const uint64_t *calls = e->store->calls;

	event_log(LOG_INFO, "counters",
	    "requests=%llu answered=%llu refused=%llu failed=%llu sent=%llu "
	    "repeated=%llu resumed=%llu exchanges=%u peers=%u calls_config=%llu "
	    "calls_endpoints=%llu calls_placement=%llu calls_daemons=%llu "
	    "store_failures=%llu",
	    (unsigned long long)counts[COUNT_REQUESTS],
	    (unsigned long long)counts[COUNT_COMPLETED],
	    (unsigned long long)counts[COUNT_REFUSED],
	    (unsigned long long)counts[COUNT_FAILED],
	    (unsigned long long)counts[COUNT_SENT],
	    (unsigned long long)counts[COUNT_RETRIED],
	    (unsigned long long)counts[COUNT_RESUMED], e->fwd.n_exchanges,
	    mesh_count_alive(&e->mesh), (unsigned long long)calls[TOPIC_CONFIG],
	    (unsigned long long)calls[TOPIC_ENDPOINTS],
	    (unsigned long long)calls[TOPIC_PLACEMENT],
	    (unsigned long long)calls[TOPIC_DAEMONS],
	    (unsigned long long)e->store->failures);
}

/* Whether callers come to this daemon, which may know the others by now. */
static bool
callers_come(const struct edge *e)
{
	return (e->fwd.stats.counts[COUNT_REQUESTS] > 0 &&
	    e->mesh.records_read_ms != 0);
}

/*
 * Begins to read the store, where nobody else tells what it holds: at a relay,
 * or where none tells it in time. 295 daemons that each read all entries keep
 * the store busy for 1.5 s, and make a thousand calls more.
 */
static void
on_hold(uv_timer_t *timer)
{
	struct edge *e = timer->data;
	const struct mesh *mesh = &e->mesh;
	uint64_t since = clock_loop_ms(e->loop) - mesh->opened_ms;
	/* Where nobody else is known, others may be about to announce. */
	bool own = mesh->records_read_ms != 0 && mesh->relay == NULL &&
	    (mesh->n_peers > 0 || e->announced);

	if (e->registry.endpoints.synced && e->registry.catalog != NULL) {
		uv_timer_stop(timer);
		/* Those that report here wait for it. */
		mesh_send_now(&e->mesh);
		return;
	}
	/* After all were killed at once, waiting for a relay took a second, and
	 * reading takes 0.1 s. */
	if (callers_come(e)) {
		topic_follower_release(&e->registry.config);
		own = own || mesh->n_peers < HOLD_DAEMONS_MOST;
	}
	if (own || since >= (mesh_relay_alive(mesh) ? HOLD_LED_MS : HOLD_MS))
		registry_release(&e->registry);
}

/* Looks at what has no timer of its own. */
static void
on_second(uv_timer_t *timer)
{
	struct edge *e = timer->data;
	static unsigned looks;
	bool ready = edge_is_ready(e);
	uint64_t changed;

	if (ready != e->was_ready)
		event_log(LOG_NOTICE, ready ? "ready" : "not_ready",
		    "config_age_ms=%lld",
		    (long long)MIN(registry_config_age(&e->registry,
				       clock_loop_ms(e->loop)),
			INT64_MAX));
	e->was_ready = ready;
	e->fwd.daemons =
	    fwd_daemon_peak_update(&e->daemon_peak, 1 + e->mesh.n_others,
		e->fwd.set.retry.window_ms, clock_loop_ms(e->loop));
	edge_choose_reader(e);
	edge_choose_patience(e);
	e->mesh.self.served = e->fwd.stats.counts[COUNT_REQUESTS] > 0;
	registry_sweep(&e->registry, clock_loop_ms(e->loop));
	fwd_poison_sweep(&e->fwd);
	edge_quarantine_update(e);
	event_log_flush();
	if (++looks % COUNTER_LOOKS == 0)
		edge_log_counters(e);
	if (looks % FILE_LOOKS != 0)
		return;
	changed = file_changed_ns(e->set.config);
	if (changed != 0 && changed != e->file_changed_ns) {
		e->file_changed_ns = changed;
		edge_reload(e, "file_changed");
	}
}

static void
on_dir_changed(void *arg)
{
	struct edge *e = arg;
	int64_t version =
	    e->registry.catalog != NULL ? e->registry.catalog->version : -1;

	/* A new configuration is worth a word before the next round. */
	if (version != e->notified_version && e->mesh.loop != NULL &&
	    (e->mesh.relay == NULL || e->mesh.relay->config_version < version))
		mesh_send_now(&e->mesh);
	e->notified_version = version;
	if (!TAILQ_EMPTY(&e->fwd.queue))
		fwd_schedule_dispatch(&e->fwd);
	placer_schedule_pass(&e->placer);
}

static void
on_suspect(void *arg, struct endpoint *ep)
{
	struct edge *e = arg;

	placer_suspect(&e->placer, ep);
	mesh_send_now(&e->mesh);
}

static void
on_limited(void *arg, struct endpoint *ep)
{
	struct edge *e = arg;

	mesh_limit_announce(&e->mesh, ep);
}

static void
on_avoided(void *arg, struct endpoint *ep)
{
	struct edge *e = arg;

	placer_suspect(&e->placer, ep);
}

/* No other daemon could tell which entries changed: read the store. */
static void
on_missed(void *arg)
{
	struct edge *e = arg;

	topic_follower_poll(&e->registry.endpoints);
}

static void
on_relayed(void *arg, uint64_t from, uint64_t end, const GArray *records)
{
	struct edge *e = arg;

	mesh_send_entries(&e->mesh, from, end, records);
}

/* Opens one listener, with a typed error. */
static bool
opened(int rc, const char *what, const char *address, GError **error)
{
	if (rc == 0)
		return (true);
	error_set(error, ERROR_BAD_SETTING, "%s %s: %s", what, address,
	    uv_strerror(rc));
	return (false);
}

/* Timers and signals. */
static void
edge_start_timers(struct edge *e)
{
	uv_timer_init(e->loop, &e->tick_timer);
	uv_timer_init(e->loop, &e->startup_timer);
	e->startup_timer.data = e;
	uv_timer_start(&e->startup_timer, on_hold, HOLD_LOOK_MS, HOLD_LOOK_MS);
	uv_timer_init(e->loop, &e->drain_timer);
	e->tick_timer.data = e;
	e->drain_timer.data = e;
	uv_timer_start(&e->tick_timer, on_second, SECOND_MS, SECOND_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(signal_numbers); i++) {
		uv_signal_init(e->loop, &e->signals[i]);
		e->signals[i].data = e;
		uv_signal_start(&e->signals[i], on_signal, signal_numbers[i]);
	}
}

/* Connects the parts to each other. */
static void
edge_join_parts(struct edge *e)
{
	e->registry.changed = on_dir_changed;
	e->registry.changed_arg = e;
	e->fwd.wire = e->platform->wire;
	e->fwd.registry = &e->registry;
	e->fwd.on_silent = on_suspect;
	e->fwd.on_silent_arg = e;
	e->fwd.on_limit = on_limited;
	e->fwd.on_limit_arg = e;
	e->mesh.registry = &e->registry;
	e->mesh.name = e->set.name;
	e->mesh.domain = e->set.domain;
	e->mesh.capacity =
	    (uint32_t)(e->set.cpu_share * e->set.cores * CAPACITY_UNIT);
	e->mesh.missed = on_missed;
	e->mesh.missed_arg = e;
	e->mesh.avoided = on_avoided;
	e->mesh.avoided_arg = e;
	e->registry.relayed = on_relayed;
	e->registry.relayed_arg = e;
	e->placer.store = e->store;
	e->placer.registry = &e->registry;
	e->placer.mesh = &e->mesh;
	e->placer.orders = e->platform->orders;
	e->placer.name = e->set.name;
}

/**
 * edge_open() - open all listeners and begin to follow the store.
 * @e: the daemon; loop, platform and set are filled in
 * @error: set where a listener can't be opened
 */
bool
edge_open(struct edge *e, GError **error)
{
	struct sockaddr_in store, caller, ready, metrics, peer;

	address_of(e->set.store_address, &store);
	address_of(e->set.caller_address, &caller);
	address_of(e->set.ready_address, &ready);
	address_of(e->set.metrics_address, &metrics);
	address_of(e->set.peer_address, &peer);
	e->store = e->platform->store_open(e->loop, &store, STORE_TIMEOUT_MS);
	registry_init(&e->registry, e->loop, e->store, e->platform->decoders);
	uv_ip4_addr(e->set.source_ip, 0, &e->registry.fleet.source);
	edge_join_parts(e);
	edge_start_timers(e);
	if (!opened(fwd_open(&e->fwd, e->loop, &caller), "--caller-address",
		e->set.caller_address, error) ||
	    !opened(status_server_open(&e->ready, e->loop, &ready,
			edge_serve_ready, e),
		"--ready-address", e->set.ready_address, error) ||
	    !opened(status_server_open(&e->metrics, e->loop, &metrics,
			edge_serve_metrics, e),
		"--metrics-address", e->set.metrics_address, error) ||
	    !opened(status_server_open(&e->peers, e->loop, &peer, mesh_serve,
			&e->mesh),
		"--peer-address", e->set.peer_address, error) ||
	    !opened(mesh_open(&e->mesh, e->loop, &peer), "--peer-address",
		e->set.peer_address, error))
		return (false);
	registry_configure(&e->registry,
	    (unsigned)(e->set.key_proof_ms / CONFIG_READS),
	    (unsigned)(e->set.drain_ms / ENDPOINT_READS));
	edge_choose_patience(e);
	edge_apply_settings(e);
	placer_start(&e->placer, e->loop);
	edge_find_daemons(e);
	edge_announce(e);
	return (true);
}

/**
 * edge_main() - run the daemon on a platform.
 * @platform: the adapter
 * @argc: count of arguments
 * @argv: the arguments
 *
 * Return: the exit status.
 */
int
edge_main(const struct edge_platform *platform, int argc, const char **argv)
{
	static struct edge edge;
	g_autoptr(GError) error = NULL;
	struct edge *e = &edge;

	if (!edge_setting_parse(&e->set, argc, argv, &error)) {
		fprintf(stderr, "banklift-edge: %s\n", error->message);
		return (EXIT_BAD_SETTING);
	}
	if (e->set.check)
		return (EXIT_SUCCESS);
	e->argc = argc;
	e->argv = argv;
	e->platform = platform;
	e->loop = uv_default_loop();
	e->file_changed_ns = file_changed_ns(e->set.config);
	event_log_open("banklift-edge", event_log_level(e->set.log_level));
	event_log_buffer(STDOUT_FILENO);
	signal(SIGPIPE, SIG_IGN);
	if (!edge_open(e, &error)) {
		event_log(LOG_ERR, "start_failed", "reason=%s", error->message);
		event_log_flush();
		return (EXIT_BAD_SETTING);
	}
	event_log(LOG_NOTICE, "started",
	    "name=%s domain=%s callers=%s store=%s pid=%d", e->set.name,
	    e->set.domain, e->set.caller_address, e->set.store_address,
	    (int)getpid());
	event_log_flush();
	uv_run(e->loop, UV_RUN_DEFAULT);
	event_log_flush();
	return (EXIT_SUCCESS);
}
