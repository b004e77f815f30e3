/* Whether a send waits because its path to the endpoint is lost, rather
 * than because of the endpoint. */
#include "fwd-exchange.h"
#include "net-probe.h"

/* A send is silent if nothing arrives for this time beyond what is
 * expected; while other endpoints are heard directly, for that time. */
#define SILENT_MS 200
#define SILENT_OTHERS_HEARD_MS 800
/* Time within which bytes from any endpoint show that not all are lost. */
#define OTHERS_HEARD_MS 200
/* Time in which a check has an outcome. */
#define CHECK_MS 300
/* Pause between two checks, at least; it grows with the silence. */
#define CHECK_PAUSE_MS 400
/* Longest time within which a byte is expected. */
#define EXPECTED_MAX_MS 400
/* A plain response may take this multiple of the mean duration. */
#define PLAIN_FACTOR 2

/* Time within which a byte is expected; at most EXPECTED_MAX_MS, since a check
 * costs less than a response that is lost. */
static double
path_expected_ms(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	double expected = 0;

	if (send->in_backlog)
		expected = send->basis.silence_ms;
	else if (ex->model == NULL)
		expected =
		    PLAIN_FACTOR * fwd_exchange_estimate(ex)->duration_ms;
	return (MIN(expected, EXPECTED_MAX_MS));
}

/* Whether a send is silent for so long that its path is to be checked. */
static bool
path_is_silent(const struct fwd_send *send, uint64_t now_ms)
{
	const struct net_tunnels *tunnels = send->endpoint->pool.tunnels;
	uint64_t silent = now_ms - MIN(send->heard_ms, now_ms);
	bool others_heard = !net_conn_tunneled(send->conn) &&
	    now_ms - MIN(tunnels->heard_ms, now_ms) < OTHERS_HEARD_MS;

	return ((double)silent > path_expected_ms(send) +
		(others_heard ? SILENT_OTHERS_HEARD_MS : SILENT_MS));
}

/* Whether a check is due: the pause after one grows with the silence. */
static bool
path_check_due(const struct fwd_send *send, uint64_t checked_ms,
    uint64_t now_ms)
{
	uint64_t silent = now_ms - MIN(send->heard_ms, now_ms);

	return (
	    now_ms - MIN(checked_ms, now_ms) >= MAX(CHECK_PAUSE_MS, silent));
}

/* Judges the direct path of a silent send. */
static enum fwd_path_verdict
path_judge_direct(const struct fwd_send *send, uint64_t now_ms)
{
	struct net_pool *pool = &send->endpoint->pool;
	const struct net_path *path = &pool->path;

	if (path->lost_ms > send->heard_ms)
		return (FWD_PATH_LOST);
	/* An endpoint that nobody hears is silent itself. */
	if (now_ms - MIN(path->heard_ms, now_ms) < SILENT_MS ||
	    send->endpoint->peer_heard_ms <= send->heard_ms)
		return (FWD_PATH_SOUND);
	if (path_check_due(send, path->checked_ms, now_ms)) {
		net_pool_check(pool);
		return (FWD_PATH_UNKNOWN);
	}
	if (path->heard_ms >= path->checked_ms ||
	    now_ms - path->checked_ms >= CHECK_MS)
		return (FWD_PATH_SOUND);
	return (FWD_PATH_UNKNOWN);
}

/* Judges the gateway of a silent send. */
static enum fwd_path_verdict
path_judge_gateway(const struct fwd_send *send, uint64_t now_ms)
{
	struct net_pool *pool = &send->endpoint->pool;
	const struct net_gateway_probe *probe = &pool->path.gateway;
	const struct net_gateway *gateway = &send->conn->link->gateway;

	if (probe->pending)
		return (FWD_PATH_UNKNOWN);
	if (probe->name_hash == gateway->name_hash &&
	    probe->lost_ms > send->heard_ms)
		return (FWD_PATH_LOST);
	if (probe->name_hash == gateway->name_hash &&
	    !path_check_due(send, probe->started_ms, now_ms))
		return (FWD_PATH_SOUND);
	net_probe_gateway(pool, gateway);
	return (FWD_PATH_UNKNOWN);
}

/**
 * fwd_path_judge() - judge the path of a send; checks it if needed.
 * @send: the send; its connection is established
 * @now_ms: loop time
 */
enum fwd_path_verdict
fwd_path_judge(const struct fwd_send *send, uint64_t now_ms)
{
	const struct net_tunnels *tunnels = send->endpoint->pool.tunnels;
	bool tunneled = net_conn_tunneled(send->conn);

	if (tunnels == NULL || send->paused ||
	    now_ms < send->exchange->fwd->grace_until_ms)
		return (FWD_PATH_SOUND);
	if (tunneled &&
	    !tunnels->ops->usable(tunnels->arg, &send->conn->link->gateway))
		return (FWD_PATH_LOST);
	if (!path_is_silent(send, now_ms))
		return (FWD_PATH_SOUND);
	return (tunneled ? path_judge_gateway(send, now_ms) :
			   path_judge_direct(send, now_ms));
}

/**
 * fwd_path_doubted() - whether this daemon may not reach an endpoint directly,
 *	so that a missing connection tells nothing about the endpoint.
 * @ep: the endpoint
 */
bool
fwd_path_doubted(const struct endpoint *ep)
{
	const struct net_tunnels *tunnels = ep->pool.tunnels;

	return (tunnels != NULL &&
	    net_path_state(&ep->pool.path, tunnels) != NET_PATH_DIRECT);
}

/**
 * fwd_path_note() - note through which gateway a send goes, for the log.
 * @send: the send, with a connection
 */
void
fwd_path_note(struct fwd_send *send)
{
	struct fwd_exchange *ex = send->exchange;
	const struct net_tunnels *tunnels = send->endpoint->pool.tunnels;

	g_clear_pointer(&ex->gateway, g_free);
	if (net_conn_tunneled(send->conn))
		ex->gateway = g_strdup(tunnels->ops->name(tunnels->arg,
		    &send->conn->link->gateway));
}
