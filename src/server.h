/* One daemon: its parts, and the threads that run them. */
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
 * struct server - one daemon.
 * @set: its settings
 * @incarnation: identifier of this run, never used again
 * @holder: name and @incarnation, as leases name the holder
 * @log: the platform's log
 * @config: the followed configuration
 * @inv: the hosts
 * @members: the daemons
 * @claims: the claims on request ids
 * @tables: what outlives views; guarded by @view_lock
 * @usage: counts of the failure domain while this daemon controls it; guarded
 *	by the configuration's lock
 * @view_lock: held while a view is built
 * @view: the published view; read under RCU
 * @want_remote: a request found no target; ask the other failure domains
 * @remote_used_ms: when a request last needed another failure domain, or 0
 * @config_known_ms: when a configuration was first known, 0 before
 * @draining: new connections are still accepted, but the health page says no
 * @refusing: new requests are refused
 * @stopping: threads end
 * @active: requests in progress
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
	_Atomic uint64_t config_known_ms;
	atomic_bool draining;
	atomic_bool refusing;
	atomic_bool stopping;
	atomic_uint active;
};

struct server *server_create(const struct settings *);
void server_free(struct server *);
void server_view_rebuild(struct server *);
bool server_ready(struct server *);
uint64_t server_view_next(struct server *);
bool server_sleep(struct server *, uint64_t);

#endif
