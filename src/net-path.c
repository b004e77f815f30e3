/* Whether a peer is reached directly. */
#include <glib.h>

#include "event-log.h"
#include "net-address.h"
#include "net-path.h"

/* Two paths lost within this time put all others in doubt. */
#define LOST_TOGETHER_MS 1000
/* Pause between two attempts to use a lost path again. */
#define PROBE_INTERVAL_MS 300

/**
 * net_path_state() - what is known of a direct path.
 * @path: the path
 * @tunnels: what it has in common with others
 */
enum net_path_state
net_path_state(const struct net_path *path, const struct net_tunnels *tunnels)
{
	if (path->lost_ms != 0)
		return (NET_PATH_LOST);
	if (path->heard_ms < MAX(path->doubt_ms, tunnels->doubt_ms))
		return (NET_PATH_DOUBTED);
	return (NET_PATH_DIRECT);
}

/**
 * net_path_probe_due() - whether a lost path should be tried again.
 * @path: the path
 * @now_ms: loop time
 */
bool
net_path_probe_due(const struct net_path *path, uint64_t now_ms)
{
	return (now_ms - MIN(path->probed_ms, now_ms) >= PROBE_INTERVAL_MS);
}

/* Logs a change of a path. */
static void
path_log(const char *event, const struct sockaddr_in *peer,
    const char *evidence, uint64_t ms)
{
	g_autofree char *address = net_address_format(peer);

	event_log(LOG_NOTICE, event, "address=%s evidence=%s ms=%llu", address,
	    evidence, (unsigned long long)ms);
}

/**
 * net_path_heard() - note that a direct path works.
 * @path: the path
 * @tunnels: what it has in common with others; may be NULL
 * @peer: address of the peer
 * @now_ms: loop time
 */
void
net_path_heard(struct net_path *path, struct net_tunnels *tunnels,
    const struct sockaddr_in *peer, uint64_t now_ms)
{
	path->heard_ms = now_ms;
	if (tunnels == NULL)
		return;
	tunnels->heard_ms = now_ms;
	if (path->lost_ms == 0)
		return;
	tunnels->n_restored++;
	path_log("path_restored", peer, "connected", now_ms - path->lost_ms);
	path->lost_ms = 0;
}

/**
 * net_path_lost() - note that a peer was reached by a tunnel and not directly.
 * @path: the path
 * @tunnels: what it has in common with others
 * @peer: address of the peer
 * @evidence: what was seen, for the log
 * @now_ms: loop time
 */
void
net_path_lost(struct net_path *path, struct net_tunnels *tunnels,
    const struct sockaddr_in *peer, const char *evidence, uint64_t now_ms)
{
	if (path->lost_ms != 0)
		return;
	path->lost_ms = MAX(now_ms, 1);
	tunnels->n_lost++;
	path_log("path_lost", peer, evidence,
	    now_ms - MIN(path->heard_ms, now_ms));
	if (tunnels->lost_ms != 0 &&
	    now_ms - tunnels->lost_ms < LOST_TOGETHER_MS &&
	    !net_address_equal(&tunnels->lost_peer, peer))
		tunnels->doubt_ms = now_ms;
	tunnels->lost_ms = now_ms;
	tunnels->lost_peer = *peer;
}

/**
 * net_path_trusted() - whether an idle direct connection may be used again.
 * @path: the path
 * @tunnels: what it has in common with others
 * @heard_ms: loop time at which bytes last arrived on the connection
 */
bool
net_path_trusted(const struct net_path *path, const struct net_tunnels *tunnels,
    uint64_t heard_ms)
{
	return (heard_ms >= MAX(path->lost_ms, tunnels->doubt_ms));
}
