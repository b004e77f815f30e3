/* State of a daemon, shared by its threads. */
#ifndef BL_SERVER_H
#define BL_SERVER_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "config.h"
#include "inventory.h"
#include "members.h"
#include "setting.h"
#include "view.h"

struct claims;

/**
 * enum server_health - whether the load balancer should send clients here.
 * @SERVER_STARTED: the health page was not asked yet
 * @SERVER_NO_CONFIGURATION: the configuration is not known yet
 * @SERVER_NO_HOSTS: the platform's host list is not known yet
 * @SERVER_NO_EVIDENCE: a deployment or service has targets, and it is not known
 *	of any that it is ready
 * @SERVER_READY: clients are served
 * @SERVER_LEAVING: the daemon drains
 */
enum server_health {
	SERVER_STARTED,
	SERVER_NO_CONFIGURATION,
	SERVER_NO_HOSTS,
	SERVER_NO_EVIDENCE,
	SERVER_READY,
	SERVER_LEAVING,
};

/**
 * struct server - state of a daemon.
 * @set: its settings
 * @incarnation: random identifier of this run, never used again
 * @holder: "name#incarnation", identifies this daemon as holder of a lease
 * @log: the platform's log
 * @config: the configuration, as replayed from @log
 * @inv: the hosts that the platform lists
 * @members: this daemon and the others
 * @claims: claims of request ids
 * @tables: objects that outlive single views; guarded by @view_lock
 * @usage: downtime and stranded time, counted while this daemon controls its
 *	failure domain; guarded by the configuration's lock
 * @view_lock: held while a view is built
 * @view: the published view; read under RCU
 * @want_remote: a request found no target, so the other failure domains are to
 *	be queried
 * @remote_used_ms: when a request last needed another failure domain, 0 for
 *	never
 * @known_ms: when a configuration and the host list were first known, 0 before
 *	that
 * @health: what the health page said last
 * @draining: the health page reports that the daemon is leaving; new
 *	connections are still accepted
 * @refusing: new requests are refused
 * @stopping: all threads are to end
 * @active: number of requests in progress
 */
struct server {
	struct settings set;
	char *incarnation;
	char *holder;
	struct log_client *log;
	struct config config;
	struct inventory inv;
	struct members members;
	struct claims *claims;
	struct view_tables tables;
	GHashTable *usage;
	GMutex view_lock;
	struct view *view;
	atomic_bool want_remote;
	_Atomic uint64_t remote_used_ms;
	_Atomic uint64_t known_ms;
	_Atomic(enum server_health) health;
	atomic_bool draining;
	atomic_bool refusing;
	atomic_bool stopping;
	atomic_uint active;
};

struct server *server_create(const struct settings *);
void server_free(struct server *);
void server_view_rebuild(struct server *);
enum server_health server_health(struct server *);
enum server_health server_tell_health(struct server *);
uint64_t server_view_next(struct server *);
bool server_sleep(struct server *, uint64_t);

#endif
