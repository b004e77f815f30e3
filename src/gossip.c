/* Gossip among daemons: queries a bounded number of them in each round. */
#include <arpa/inet.h>

#include "clock.h"
#include "controller.h"
#include "event-log.h"
#include "gossip.h"
#include "peer-client.h"
#include "random.h"
#include "server.h"

/*
 * Interval at which requests that need a target of another failure domain are
 * looked for, and pause after the other domains were queried for them.
 */
#define REMOTE_POLL_MS 50
#define REMOTE_PAUSE_MS 500
/* Period, in rounds, of queries to one other failure domain. */
#define REMOTE_ROUNDS 3
/*
 * Time after a request needed another failure domain during which all of them
 * are queried in every round.
 */
#define REMOTE_USED_MS 30000

/* Adds the seed peers of the settings. */
static void
select_seeds(struct server *server, GArray *selected)
{
	g_auto(GStrv) seeds = g_strsplit(server->set.peers, ",", -1);

	for (char **seed = seeds; *seed != NULL; seed++) {
		struct member m = { 0 };
		g_autofree char *ip = NULL;
		uint16_t port;

		if (!setting_split_address(g_strstrip(*seed), &ip, &port))
			continue;
		m.ip = ntohl(inet_addr(ip));
		m.port = port;
		if (m.ip != server->members.self.ip ||
		    m.port != server->members.self.port)
			g_array_append_val(selected, m);
	}
}

/* Queries the selected daemons, one after the other. */
static void
pull_all(struct server *server, const GArray *selected)
{
	for (guint i = 0; i < selected->len; i++) {
		struct member *m = &g_array_index(selected, struct member, i);

		if (!peer_pull(server, m->ip, m->port))
			log_debug("pull_failed", "ip=%u port=%u", m->ip,
			    m->port);
	}
}

/*
 * Queries daemons of this failure domain for their evidence of hosts. The
 * controller of the domain queries each daemon twice within dead_ms, the time
 * after which a host counts as lost; the queries are spread over the rounds.
 */
static void
pull_hosts(struct server *server, unsigned round)
{
	unsigned rounds =
	    (unsigned)(server->set.dead_ms / (2 * server->set.heartbeat_ms));
	g_autoptr(GArray) selected = NULL;

	selected = g_array_new(FALSE, FALSE, sizeof(struct member));
	members_select_share(&server->members, round, MAX(rounds, 1), selected);
	for (guint i = 0; i < selected->len; i++) {
		struct member *m = &g_array_index(selected, struct member, i);

		peer_pull_hosts(server, m->ip, m->port);
	}
}

/* Whether a request needed another failure domain within REMOTE_USED_MS. */
static bool
remote_needed(struct server *server)
{
	uint64_t used = atomic_load(&server->remote_used_ms);

	return (used != 0 && clock_now_ms() < used + REMOTE_USED_MS);
}

static void
pull_round(struct server *server, unsigned round)
{
	g_autoptr(GArray) selected = NULL;

	selected = g_array_new(FALSE, FALSE, sizeof(struct member));
	members_select_local(&server->members, clock_now_ms(), random_u64(),
	    selected);
	if (remote_needed(server))
		members_select_each_remote(&server->members, selected);
	else if (round % REMOTE_ROUNDS == 0)
		members_select_remote(&server->members, selected);
	if (selected->len == 0 || round % GOSSIP_SEED_ROUNDS == 0)
		select_seeds(server, selected);
	pull_all(server, selected);
	if (controller_holds_lease(server))
		pull_hosts(server, round);
}

/* Queries all other failure domains, since a request found no target here. */
static void
pull_remote(struct server *server)
{
	g_autoptr(GArray) selected = NULL;

	selected = g_array_new(FALSE, FALSE, sizeof(struct member));
	members_select_each_remote(&server->members, selected);
	pull_all(server, selected);
}

/* Waits for the next round; queries other domains when requests need them. */
static bool
wait_round(struct server *server)
{
	uint64_t until = clock_now_ms() + (uint64_t)server->set.heartbeat_ms;

	while (clock_now_ms() < until) {
		if (!server_sleep(server, REMOTE_POLL_MS))
			return (false);
		if (!atomic_exchange(&server->want_remote, false))
			continue;
		pull_remote(server);
		if (!server_sleep(server, REMOTE_PAUSE_MS))
			return (false);
	}
	return (true);
}

/* Rebuilds the view when the number of daemons sharing limits has changed. */
static void
update_sharing(struct server *server, unsigned *sharing)
{
	unsigned now_sharing =
	    members_count_sharing(&server->members, clock_now_ms());

	if (now_sharing == *sharing)
		return;
	*sharing = now_sharing;
	server_view_rebuild(server);
	event_log(LOG_INFO, "limits_shared", "daemons=%u", now_sharing);
}

/**
 * gossip_run() - thread that queries other daemons.
 * @arg: the struct server
 */
void *
gossip_run(void *arg)
{
	struct server *server = arg;
	unsigned sharing = 0, round = 0;

	do {
		pull_round(server, round++);
		update_sharing(server, &sharing);
	} while (wait_round(server));
	return (NULL);
}
