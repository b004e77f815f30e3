/* banklift-edge: the proxy, the mesh and the placer on one event loop. */
#ifndef BL_EDGE_H
#define BL_EDGE_H

#include "edge-setting.h"
#include "fwd.h"
#include "mesh-gateway.h"
#include "placer.h"
#include "mesh.h"
#include "status-server.h"
#include "tunnel-server.h"

/**
 * struct edge_platform - the adapter to a platform.
 * @wire: decodes and encodes headers of requests and responses
 * @decoders: decode records of the store
 * @orders: calls to endpoints
 * @store_open: creates a client of the store
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
 * @argc: number of arguments, kept to read the settings again
 * @argv: the arguments
 * @set: settings
 * @store: client of the store
 * @registry: local copy of configuration and endpoints
 * @fwd: the reverse proxy
 * @mesh: the other daemons
 * @placer: placement of replicas
 * @ready: serves readiness checks
 * @metrics: serves metrics
 * @peers: serves other daemons
 * @gateways: choice of other daemons as gateways to endpoints
 * @tunnels: serves other daemons' tunnels
 * @daemons: follows the daemons' addresses in the store
 * @tick_timer: periodic work that has no timer of its own
 * @startup_timer: decides at the start when to read the store
 * @read_timer: delays the first read of the daemons' addresses
 * @drain_timer: steps of draining
 * @log_prepare: writes urgent log lines at the end of each turn of the loop
 * @signals: SIGTERM, SIGINT and SIGHUP
 * @file_changed_ns: modification time of the settings file, when last read
 * @announced: this daemon has written its address to the store
 * @announcing: it is being written
 * @announce_again_ms: loop time before which it is not tried again
 * @notified_version: version of the configuration as of the last change of the
 *	registry; other daemons are sent a different one at once
 * @notified_evacuations: store offset of the evacuations as of that change
 * @daemon_peak: number of daemons that share the bounds on all of them
 * @draining_since_ms: loop time at which draining began; 0 before
 * @was_ready: readiness as last logged
 * @entries_stale: the entries were older than drain_ms when last checked
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
	struct mesh_gateways gateways;
	struct tunnel_server tunnels;
	struct topic_follower daemons;
	uv_timer_t tick_timer;
	uv_timer_t startup_timer;
	uv_timer_t read_timer;
	uv_timer_t drain_timer;
	uv_prepare_t log_prepare;
	uv_signal_t signals[3];
	uint64_t file_changed_ns;
	bool announced;
	bool announcing;
	uint64_t announce_again_ms;
	int64_t notified_version;
	uint64_t notified_evacuations;
	struct fwd_daemon_peak daemon_peak;
	uint64_t draining_since_ms;
	bool was_ready;
	bool entries_stale;
};

bool edge_open(struct edge *, GError **);
void edge_drain(struct edge *);
void edge_choose_reader(struct edge *);
void edge_update_fallback(struct edge *);
void edge_check_entries(struct edge *);
void edge_start_reading(struct edge *);
void edge_registry_changed(void *);
bool edge_is_ready(struct edge *);
void edge_apply_settings(struct edge *);
void edge_reload(struct edge *, const char *);
void edge_note_file(struct edge *);
void edge_check_file(struct edge *);
unsigned edge_serve_ready(void *, const char *, GString *);
unsigned edge_serve_metrics(void *, const char *, GString *);
void edge_find_daemons(struct edge *);
void edge_announce(struct edge *);
void edge_remove_addresses(struct edge *);
void edge_read_addresses(void *);
void edge_collect_sums(void *, struct sum_table *, uint64_t);
bool edge_parse_address(const char *, struct sockaddr_in *);
int edge_open_tunnels(struct edge *);
void edge_quarantine_update(struct edge *);
bool edge_quarantine_apply(struct edge *, const struct store_record *);
int edge_main(const struct edge_platform *, int, const char **);

#endif
