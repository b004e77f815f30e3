/* The daemon before the users' endpoints: all parts on one event loop. */
#ifndef BL_EDGE_H
#define BL_EDGE_H

#include "edge-setting.h"
#include "fwd.h"
#include "placer.h"
#include "mesh.h"
#include "status-server.h"

/**
 * struct edge_platform - the adapter to a platform.
 * @wire: headers of requests and answers
 * @decoders: records of the store
 * @orders: calls to endpoints
 * @store_open: a client of the store
 */
struct edge_platform {
	const struct wire_ops *wire;
	const struct registry_decoders *decoders;
	const struct order_ops *orders;
	struct store *(
	    *store_open)(uv_loop_t *, const struct sockaddr_in *, unsigned);
};

/**
 * struct edge - the daemon.
 * @loop: the event loop
 * @platform: the adapter
 * @argc: of the command line, to read the settings again
 * @argv: of the command line
 * @set: settings
 * @store: client of the store
 * @registry: what is known of the deployment
 * @fwd: the forwarding engine
 * @mesh: the other daemons
 * @placer: placement
 * @ready: answers questions for readiness
 * @metrics: answers questions for metrics
 * @peers: answers other daemons
 * @daemons: follows the daemons' addresses
 * @tick_timer: look at what has no timer of its own
 * @startup_timer: whether to read the store, at the start
 * @drain_timer: steps of leaving
 * @signals: SIGTERM, SIGINT and SIGHUP
 * @file_changed_ns: when the settings file last changed
 * @announced: this daemon's address is in the store
 * @notified_version: of the configuration, when the others were last told of
 * one
 * @daemon_peak: daemons among which bounds over all of them are shared
 * @draining_since_ms: loop time of SIGTERM; 0 before
 * @was_ready: as last logged
 */
struct edge {
	uv_loop_t *loop;
	const struct edge_platform *platform;
	int argc;
	const char **argv;
	struct edge_settings set;
	struct store *store;
	struct registry registry;
	struct fwd fwd;
	struct mesh mesh;
	struct placer placer;
	struct status_server ready;
	struct status_server metrics;
	struct status_server peers;
	struct topic_follower daemons;
	uv_timer_t tick_timer;
	uv_timer_t startup_timer;
	uv_timer_t drain_timer;
	uv_signal_t signals[3];
	uint64_t file_changed_ns;
	bool announced;
	int64_t notified_version;
	struct fwd_daemon_peak daemon_peak;
	uint64_t draining_since_ms;
	bool was_ready;
};

bool edge_open(struct edge *, GError **);
void edge_drain(struct edge *);
bool edge_is_ready(struct edge *);
void edge_apply_settings(struct edge *);
void edge_reload(struct edge *, const char *);
unsigned edge_serve_ready(void *, const char *, GString *);
unsigned edge_serve_metrics(void *, const char *, GString *);
void edge_find_daemons(struct edge *);
void edge_announce(struct edge *);
void edge_quarantine_update(struct edge *);
bool edge_quarantine_apply(struct edge *, const struct store_record *);
int edge_main(const struct edge_platform *, int, const char **);

#endif
