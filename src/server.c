/* One daemon: its parts, and the view that its threads share. */
#include <urcu-bp.h>

#include "claims.h"
#include "clock.h"
#include "event-log.h"
#include "peer-client.h"
#include "random.h"
#include "server.h"
#include "usage.h"

#define SLEEP_STEP_MS 20
/* A new daemon waits this long for evidence before it calls itself ready. */
#define READY_WAIT_MS 3000

static void
config_changed(void *arg)
{
	server_view_rebuild(arg);
}

static json_t *
config_fetch_peers(void *arg, uint64_t next)
{
	return (peer_fetch_state(arg, next));
}

static const struct config_ops server_config_ops = {
	.changed = config_changed,
	.fetch = config_fetch_peers,
};

/**
 * server_create() - make a daemon's parts; no thread runs yet.
 * @set: checked settings; their strings are kept
 */
struct server *
server_create(const struct settings *set)
{
	struct server *server;

	server = g_new0(struct server, 1);
	server->set = *set;
	server->incarnation = random_id();
	server->holder = g_strconcat(set->name, "#", server->incarnation, NULL);
	server->log = log_http_open(set->log_url);
	config_init(&server->config, server->log, &server_config_ops, server);
	inventory_init(&server->inv);
	members_init(&server->members, set, server->incarnation);
	view_tables_init(&server->tables);
	server->usage = usage_create();
	g_mutex_init(&server->view_lock);
	server->claims = claims_create(server);
	return (server);
}

/**
 * server_free() - free a daemon whose threads have ended.
 * @server: the daemon
 */
void
server_free(struct server *server)
{
	claims_free(server->claims);
	if (server->view != NULL)
		view_free(server->view);
	g_hash_table_unref(server->usage);
	view_tables_destroy(&server->tables);
	members_destroy(&server->members);
	inventory_destroy(&server->inv);
	config_destroy(&server->config);
	server->log->ops->close(server->log);
	g_mutex_clear(&server->view_lock);
	g_free(server->holder);
	g_free(server->incarnation);
	g_free(server);
}

/**
 * server_view_rebuild() - build and publish a view of what is known now.
 * @server: the daemon
 */
void
server_view_rebuild(struct server *server)
{
	struct view *view, *old;
	uint64_t next;
	unsigned daemons =
	    members_count_sharing(&server->members, clock_now_ms());

	g_mutex_lock(&server->view_lock);
	g_mutex_lock(&server->config.lock);
	view = view_build(&server->tables, server->config.state, &server->inv,
	    server->set.domain, daemons);
	g_mutex_unlock(&server->config.lock);
	old = server->view;
	rcu_assign_pointer(server->view, view);
	synchronize_rcu();
	if (old != NULL)
		view_free(old);
	/* Once the lock is free, another thread may free this view. */
	next = view->next;
	if (next > 1 && atomic_load(&server->config_known_ms) == 0)
		atomic_store(&server->config_known_ms, clock_now_ms());
	g_mutex_unlock(&server->view_lock);
	log_debug("view_published", "next=%" G_GUINT64_FORMAT, next);
}

/**
 * server_view_next() - prefix of the configuration that is in force.
 * @server: the daemon
 */
uint64_t
server_view_next(struct server *server)
{
	struct view *view;
	uint64_t next;

	rcu_read_lock();
	view = rcu_dereference(server->view);
	next = view != NULL ? view->next : 0;
	rcu_read_unlock();
	return (next);
}

/* Whether each set that has targets has one that may be sent to. */
static bool
sets_serve(GHashTable *sets, uint64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_set *set = value;
		bool serves = set->targets->len == 0;

		for (guint i = 0; !serves && i < set->targets->len; i++)
			serves = target_valid(set->targets->pdata[i], now);
		if (!serves)
			return (false);
	}
	return (true);
}

/**
 * server_ready() - whether the balancer should send callers here.
 * @server: the daemon
 *
 * Ready means that a configuration is known, replayed from the log or taken
 * from a peer, and that evidence was found for what it declares. What has no
 * evidence after READY_WAIT_MS is not waited for any longer.
 */
bool
server_ready(struct server *server)
{
	uint64_t now = clock_now_ms();
	uint64_t known = atomic_load(&server->config_known_ms);
	struct view *view;
	bool serves;

	if (atomic_load(&server->draining) || known == 0)
		return (false);
	if (now >= known + READY_WAIT_MS)
		return (true);
	rcu_read_lock();
	view = rcu_dereference(server->view);
	serves = sets_serve(view->deployments, now) &&
	    sets_serve(view->services, now);
	rcu_read_unlock();
	return (serves);
}

/**
 * server_sleep() - wait, but not beyond the daemon's end.
 * @server: the daemon
 * @ms: milliseconds
 *
 * Return: false once the daemon is ending.
 */
bool
server_sleep(struct server *server, uint64_t ms)
{
	uint64_t until = clock_now_ms() + ms;
	uint64_t now;

	while (!atomic_load(&server->stopping)) {
		now = clock_now_ms();
		if (now >= until)
			return (true);
		g_usleep(MIN(until - now, SLEEP_STEP_MS) * 1000);
	}
	return (false);
}
