/* Asks other daemons for news, a bounded number in each round. */
#include <arpa/inet.h>

#include "clock.h"
#include "controller.h"
#include "event-log.h"
#include "gossip.h"
#include "peer-client.h"
#include "random.h"
#include "server.h"

/* How soon a request's need for remote news is met, and how often at most. */
#define REMOTE_STEP_MS 50
#define REMOTE_PAUSE_MS 500
/* Otherwise one other failure domain is asked in every so many rounds, */
#define REMOTE_ROUNDS 3
/* but all in every round for so long after a request needed one. */
#define REMOTE_USED_MS 30000

/* Adds the seeds from the settings while nobody else is known. */
static void
ask_seeds(struct server *server, GArray *ask)
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
			g_array_append_val(ask, m);
	}
}

static void
pull_all(struct server *server, const GArray *ask)
{
	for (guint i = 0; i < ask->len; i++) {
		struct member *m = &g_array_index(ask, struct member, i);

		if (!peer_pull(server, m->ip, m->port))
			log_debug("pull_failed", "ip=%u port=%u", m->ip,
			    m->port);
	}
}

/*
 * The daemon that controls the domain hears of every host twice before it
 * would count as lost; the others' answers are spread over the rounds.
 */
static void
pull_hosts(struct server *server, unsigned round)
{
	unsigned rounds =
	    (unsigned)(server->set.dead_ms / (2 * server->set.heartbeat_ms));
	g_autoptr(GArray) ask = NULL;

	ask = g_array_new(FALSE, FALSE, sizeof(struct member));
	members_select_share(&server->members, round, MAX(rounds, 1), ask);
	for (guint i = 0; i < ask->len; i++) {
		struct member *m = &g_array_index(ask, struct member, i);

		peer_pull_hosts(server, m->ip, m->port);
	}
}

/* Whether requests need other failure domains these days. */
static bool
remote_used(struct server *server)
{
	uint64_t used = atomic_load(&server->remote_used_ms);

	return (used != 0 && clock_now_ms() < used + REMOTE_USED_MS);
}

static void
pull_round(struct server *server, unsigned round)
{
	g_autoptr(GArray) ask = NULL;

	ask = g_array_new(FALSE, FALSE, sizeof(struct member));
	members_select_local(&server->members, clock_now_ms(), random_u64(),
	    ask);
	if (remote_used(server))
		members_select_each_remote(&server->members, ask);
	else if (round % REMOTE_ROUNDS == 0)
		members_select_remote(&server->members, ask);
	if (ask->len == 0 || round % GOSSIP_SEED_ROUNDS == 0)
		ask_seeds(server, ask);
	pull_all(server, ask);
	if (controller_holds_lease(server))
		pull_hosts(server, round);
}

/* A request found no target here: ask all other failure domains now. */
static void
pull_remote(struct server *server)
{
	g_autoptr(GArray) ask = NULL;

	ask = g_array_new(FALSE, FALSE, sizeof(struct member));
	members_select_each_remote(&server->members, ask);
	pull_all(server, ask);
}

/* Waits for the next round, and serves requests that need remote news. */
static bool
wait_round(struct server *server)
{
	uint64_t until = clock_now_ms() + (uint64_t)server->set.heartbeat_ms;

	while (clock_now_ms() < until) {
		if (!server_sleep(server, REMOTE_STEP_MS))
			return (false);
		if (!atomic_exchange(&server->want_remote, false))
			continue;
		pull_remote(server);
		if (!server_sleep(server, REMOTE_PAUSE_MS))
			return (false);
	}
	return (true);
}

static void
note_sharing(struct server *server, unsigned *sharing)
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
 * gossip_run() - the thread that asks.
 * @arg: the daemon
 */
void *
gossip_run(void *arg)
{
	struct server *server = arg;
	unsigned sharing = 0, round = 0;

	do {
		pull_round(server, round++);
		note_sharing(server, &sharing);
	} while (wait_round(server));
	return (NULL);
}
