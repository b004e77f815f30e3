/* banklift-edge: the proxy, the mesh and the placer on one event loop. */
#include <stdio.h>
#include <unistd.h>

#include "clock.h"
#include "edge.h"
#include "error.h"
#include "event-log.h"

#define EXIT_BAD_SETTING 2
/* Interval of the periodic work, such as writing the log and expiring state. */
#define TICK_MS 250
/* Ticks between two checks of the settings file. */
#define FILE_CHECK_TICKS 8
/* Ticks between two log lines with counters. */
#define COUNTER_LOG_TICKS 40
/* Bound on a call to the store; slow stores respond within some hundred ms. */
#define STORE_TIMEOUT_MS 1200
/* Reads of the configuration within key-proof-ms, so that a proof is still
 * young when it arrives by way of other daemons. */
#define CONFIG_READS_PER_BOUND 10
/* Reads of the endpoints' entries within drain-ms. */
#define ENDPOINT_READS_PER_BOUND 4
/* Capacities of daemons are given in thousandths of a core. */
#define CAPACITY_PER_CORE 1000

static const int handled_signals[] = { SIGTERM, SIGINT, SIGHUP };

/**
 * edge_parse_address() - parse a setting with an address.
 * @text: the setting
 * @addr: filled in
 *
 * Return: whether it is one.
 */
bool
edge_parse_address(const char *text, struct sockaddr_in *addr)
{
	g_autofree char *ip = NULL;
	uint16_t port;

	return (setting_split_address(text, &ip, &port) &&
	    uv_ip4_addr(ip, port, addr) == 0);
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

/* Logs the main counters, for operators who have logs but no metrics. */
static void
edge_log_counters(struct edge *e)
{
	const uint64_t *counts = e->fwd.stats.counts;
	const uint64_t *calls = e->store->calls;
	const uint64_t *repair = e->mesh.repair.counts;

	event_log(LOG_INFO, "counters",
	    "requests=%llu answered=%llu refused=%llu failed=%llu sent=%llu "
	    "repeated=%llu resumed=%llu exchanges=%u peers=%u calls_config=%llu "
	    "calls_endpoints=%llu calls_placement=%llu calls_daemons=%llu "
	    "store_failures=%llu entries_age_ms=%lld gaps=%llu resent=%llu "
	    "unsent=%llu",
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
	    (unsigned long long)e->store->failures,
	    (long long)MIN(topic_follower_copy_age(&e->registry.endpoints,
			       clock_loop_ms(e->loop)),
		INT64_MAX),
	    (unsigned long long)repair[REPAIR_GAPS],
	    (unsigned long long)repair[REPAIR_RESENT],
	    (unsigned long long)e->mesh.n_unsent);
}

/* Does the periodic work that has no timer of its own. */
static void
on_tick(uv_timer_t *timer)
{
	struct edge *e = timer->data;
	static unsigned ticks;
	bool ready = edge_is_ready(e);

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
	edge_update_fallback(e);
	edge_check_entries(e);
	edge_announce(e);
	e->mesh.self.served = e->fwd.stats.counts[COUNT_REQUESTS] > 0;
	registry_sweep(&e->registry, clock_loop_ms(e->loop));
	fwd_poison_sweep(&e->fwd);
	edge_quarantine_update(e);
	event_log_flush();
	if (++ticks % COUNTER_LOG_TICKS == 0)
		edge_log_counters(e);
	if (ticks % FILE_CHECK_TICKS == 0)
		edge_check_file(e);
}

static void
on_silent(void *arg, struct endpoint *ep)
{
	struct edge *e = arg;

	placer_suspect(&e->placer, ep);
	mesh_send_now(&e->mesh);
}

static void
on_limit(void *arg, struct endpoint *ep)
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

/* Entries are missing that no other daemon could send: reads the store. */
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

	mesh_entries_read(&e->mesh, from, end, records);
}

/* Returns whether a listener was opened; sets the error if it was not. */
static bool
check_opened(int rc, const char *setting, const char *address, GError **error)
{
	if (rc == 0)
		return (true);
	error_set(error, ERROR_BAD_SETTING, "%s %s: %s", setting, address,
	    uv_strerror(rc));
	return (false);
}

/* Called at the end of each turn of the event loop. */
static void
on_log_prepare(uv_prepare_t *prepare)
{
	(void)prepare;
	event_log_flush_notices();
}

/* Starts the timers and the signal handlers. */
static void
edge_start_timers(struct edge *e)
{
	uv_timer_init(e->loop, &e->tick_timer);
	uv_timer_init(e->loop, &e->drain_timer);
	e->tick_timer.data = e;
	e->drain_timer.data = e;
	edge_start_reading(e);
	uv_timer_start(&e->tick_timer, on_tick, TICK_MS, TICK_MS);
	uv_prepare_init(e->loop, &e->log_prepare);
	uv_prepare_start(&e->log_prepare, on_log_prepare);
	for (size_t i = 0; i < G_N_ELEMENTS(handled_signals); i++) {
		uv_signal_init(e->loop, &e->signals[i]);
		e->signals[i].data = e;
		uv_signal_start(&e->signals[i], on_signal, handled_signals[i]);
	}
}

/* Connects the parts of the daemon to each other. */
static void
edge_connect_parts(struct edge *e)
{
	e->registry.changed = edge_registry_changed;
	e->registry.changed_arg = e;
	e->fwd.wire = e->platform->wire;
	e->fwd.registry = &e->registry;
	e->fwd.on_silent = on_silent;
	e->fwd.on_silent_arg = e;
	e->fwd.on_limit = on_limit;
	e->fwd.on_limit_arg = e;
	e->mesh.registry = &e->registry;
	e->mesh.name = e->set.name;
	e->mesh.domain = e->set.domain;
	e->mesh.capacity =
	    (uint32_t)(e->set.cpu_share * e->set.cores * CAPACITY_PER_CORE);
	e->mesh.missed = on_missed;
	e->mesh.missed_arg = e;
	e->mesh.avoided = on_avoided;
	e->mesh.avoided_arg = e;
	e->mesh.collect_sums = edge_collect_sums;
	e->mesh.collect_sums_arg = e;
	e->mesh.became_relay = edge_read_addresses;
	e->mesh.became_relay_arg = e;
	e->registry.relayed = on_relayed;
	e->registry.relayed_arg = e;
	e->placer.store = e->store;
	e->placer.registry = &e->registry;
	e->placer.mesh = &e->mesh;
	e->placer.orders = e->platform->orders;
	e->placer.name = e->set.name;
}

/**
 * edge_open() - open all listeners and start to follow the store.
 * @e: the daemon; loop, platform and set are filled in
 * @error: ERROR_BAD_SETTING if a listener can't be opened
 *
 * Return: whether all listeners were opened.
 */
bool
edge_open(struct edge *e, GError **error)
{
	struct sockaddr_in store, client, ready, metrics, peer;

	edge_parse_address(e->set.store_address, &store);
	edge_parse_address(e->set.caller_address, &client);
	edge_parse_address(e->set.ready_address, &ready);
	edge_parse_address(e->set.metrics_address, &metrics);
	edge_parse_address(e->set.peer_address, &peer);
	e->store = e->platform->store_open(e->loop, &store, STORE_TIMEOUT_MS);
	registry_init(&e->registry, e->loop, e->store, e->platform->decoders);
	uv_ip4_addr(e->set.source_ip, 0, &e->registry.fleet.source);
	edge_connect_parts(e);
	edge_start_timers(e);
	if (!check_opened(fwd_open(&e->fwd, e->loop, &client),
		"--caller-address", e->set.caller_address, error) ||
	    !check_opened(status_server_open(&e->ready, e->loop, &ready,
			      edge_serve_ready, e),
		"--ready-address", e->set.ready_address, error) ||
	    !check_opened(status_server_open(&e->metrics, e->loop, &metrics,
			      edge_serve_metrics, e),
		"--metrics-address", e->set.metrics_address, error) ||
	    !check_opened(status_server_open(&e->peers, e->loop, &peer,
			      mesh_serve, &e->mesh),
		"--peer-address", e->set.peer_address, error) ||
	    !check_opened(mesh_open(&e->mesh, e->loop, &peer), "--peer-address",
		e->set.peer_address, error) ||
	    !check_opened(edge_open_tunnels(e), "--tunnel-address",
		e->set.tunnel_address, error))
		return (false);
	registry_configure(&e->registry,
	    (unsigned)(e->set.key_proof_ms / CONFIG_READS_PER_BOUND),
	    (unsigned)(e->set.drain_ms / ENDPOINT_READS_PER_BOUND));
	edge_update_fallback(e);
	edge_apply_settings(e);
	e->fwd.name_hash = e->mesh.name_hash;
	placer_start(&e->placer, e->loop);
	edge_find_daemons(e);
	return (true);
}

/**
 * edge_main() - run the daemon on a platform.
 * @platform: the adapter to the platform
 * @argc: number of arguments
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
	edge_note_file(e);
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
