/* State of a daemon, and the view that its request threads read. */
#include <urcu-bp.h>

#include "claims.h"
#include "clock.h"
#include "event-log.h"
#include "peer-client.h"
#include "random.h"
#include "server.h"
#include "usage.h"

/* Sleeping threads check this often whether the daemon is stopping. */
#define SLEEP_STEP_MS 20
/* A new daemon waits at most this long for evidence before it is ready. */
#define READY_WAIT_MS 3000

static void
config_changed(void *arg)
{
	server_view_rebuild(arg);
}

static json_t *
config_fetch_from_peers(void *arg, uint64_t next)
{
	return (peer_fetch_state(arg, next));
}

static const struct config_ops server_config_ops = {
	.changed = config_changed,
	.fetch = config_fetch_from_peers,
};

/**
 * server_create() - create a daemon without starting its threads.
 * @set: checked settings; their strings are not copied
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
 * server_free() - free a daemon after its threads have ended.
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

static bool
view_has_configuration(const struct view *view)
{
	return (view != NULL && view->next > 1 && view->config_complete);
}

/**
 * server_view_rebuild() - build a view of the current state and publish it.
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
	view->config_complete = server->config.complete;
	g_mutex_unlock(&server->config.lock);
	if (view_has_configuration(view) && view->hosts_listed &&
	    atomic_load(&server->known_ms) == 0)
		atomic_store(&server->known_ms, clock_now_ms());
	old = server->view;
	rcu_assign_pointer(server->view, view);
	synchronize_rcu();
	if (old != NULL)
		view_free(old);
	/* Once the lock is released, another thread may free this view. */
	next = view->next;
	g_mutex_unlock(&server->view_lock);
	log_debug("view_published", "next=%" G_GUINT64_FORMAT, next);
}

/**
 * server_view_next() - end of the configuration prefix that is in force.
 * @server: the daemon
 *
 * Return: the first log offset that the published view does not include, or 0
 * before there is a view.
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

/* Whether each set that has targets has one to which requests may be sent. */
static bool
sets_have_target(GHashTable *sets, uint64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct route_set *set = value;
		bool serving = set->targets->len == 0;

		for (guint i = 0; !serving && i < set->targets->len; i++)
			serving = target_valid(set->targets->pdata[i], now);
		if (!serving)
			return (false);
	}
	return (true);
}

/* Health by what the daemon knows. Called within an RCU read-side section. */
static enum server_health
view_health(const struct server *server, const struct view *view)
{
	uint64_t now = clock_now_ms();

	if (!view_has_configuration(view))
		return (SERVER_NO_CONFIGURATION);
	if (!view->hosts_listed)
		return (SERVER_NO_HOSTS);
	if (now >= atomic_load(&server->known_ms) + READY_WAIT_MS)
		return (SERVER_READY);
	if (!sets_have_target(view->deployments, now) ||
	    !sets_have_target(view->services, now))
		return (SERVER_NO_EVIDENCE);
	return (SERVER_READY);
}

/**
 * server_health() - whether the load balancer should send clients here.
 * @server: the daemon
 *
 * A daemon is ready when it has a configuration, replayed from the log to its
 * end or fetched from a peer, the platform's host list, without which no
 * deployment or service has a target, and evidence about a target of each
 * deployment and service that has targets. READY_WAIT_MS after it has the first
 * two it is ready without evidence.
 */
enum server_health
server_health(struct server *server)
{
	enum server_health health;

	if (atomic_load(&server->draining))
		return (SERVER_LEAVING);
	rcu_read_lock();
	health = view_health(server, rcu_dereference(server->view));
	rcu_read_unlock();
	return (health);
}

/**
 * server_tell_health() - health for the health page; logs it if it differs from
 * what the page said last.
 * @server: the daemon
 */
enum server_health
server_tell_health(struct server *server)
{
	static const char *const reasons[] = {
		[SERVER_NO_CONFIGURATION] = "no_configuration",
		[SERVER_NO_HOSTS] = "no_hosts",
		[SERVER_NO_EVIDENCE] = "no_evidence",
		[SERVER_LEAVING] = "leaving",
	};
	enum server_health health = server_health(server);

	if (atomic_exchange(&server->health, health) == health)
		return (health);
	if (health == SERVER_READY)
		event_log(LOG_NOTICE, "ready", "next=%" G_GUINT64_FORMAT,
		    server_view_next(server));
	else
		event_log(LOG_NOTICE, "not_ready",
		    "reason=%s next=%" G_GUINT64_FORMAT, reasons[health],
		    server_view_next(server));
	return (health);
}

/**
 * server_sleep() - sleep, but return early when the daemon is stopping.
 * @server: the daemon
 * @ms: time to sleep, in ms
 *
 * Return: false when the daemon is stopping.
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
