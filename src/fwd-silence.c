/* Detection of silent endpoints, and what follows from it. */
#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"
#include "fwd-survey.h"
#include "registry-silence.h"

/* A host that has not accepted a connection within this time is down. A lost
 * packet is retransmitted after a second, which is longer than most latency
 * objectives. */
#define CONNECT_TIMEOUT_MS 350
/* The same for a plain service while another endpoint is usable: this part of
 * the objective, so that the request is served in time there, and at least
 * several round trips between failure domains. */
#define CONNECT_PLAIN_PART (1.0 / 3)
#define CONNECT_PLAIN_MIN_MS 50
/* Added where a tunnel is tried beside the direct connection. */
#define CONNECT_TUNNEL_MS 60
/* Cooldown after that: a single lost packet is no reason for a longer one. */
#define COOLDOWN_CONNECT_MS 500
/* Longest silence of an endpoint that is put down to that of most. */
#define SHARED_MAX_MS 3000
/* If no daemon has heard from an endpoint for this time, a missing connection
 * is no lost packet. Loads, which tell it, are up to 0.5 s old. */
#define UNHEARD_MS 700

/**
 * fwd_silence_connect_ms() - how long a connection may take.
 * @plain: the request is for a plain service
 * @objective_ms: the route's objective
 * @usable: endpoints that could have had the request
 */
double
fwd_silence_connect_ms(bool plain, double objective_ms, unsigned usable)
{
	if (!plain || usable < 2)
		return (CONNECT_TIMEOUT_MS);
	return (CLAMP(CONNECT_PLAIN_PART * objective_ms, CONNECT_PLAIN_MIN_MS,
	    CONNECT_TIMEOUT_MS));
}

/**
 * fwd_silence_unheard() - whether no daemon has heard from an endpoint, or
 *	warned of it, for so long that the others should be warned of a missing
 *	connection.
 * @ep: the endpoint
 * @now_ms: loop time
 */
bool
fwd_silence_unheard(const struct endpoint *ep, uint64_t now_ms)
{
	uint64_t known = MAX(ep->heard_ms, ep->peer_heard_ms);

	known = MAX(known, MAX(ep->warned_ms, ep->avoided_ms));
	return (now_ms - MIN(known, now_ms) > UNHEARD_MS);
}

/* Warns other daemons of an endpoint. */
static void
send_warn(const struct fwd_send *send, uint64_t now)
{
	const struct fwd_exchange *ex = send->exchange;

	send->endpoint->warned_ms = now;
	if (ex->fwd->on_silent != NULL)
		ex->fwd->on_silent(ex->fwd->on_silent_arg, send->endpoint);
}

/* Starts a cooldown of an endpoint that accepts no connection, and withdraws
 * the request. */
static void
send_handle_no_connection(struct fwd_send *send, uint64_t now)
{
	const struct fwd_exchange *ex = send->exchange;
	struct endpoint *ep = send->endpoint;
	bool plain = ex->model == NULL && ex->fwd->set.balance_spread;
	uint64_t ms = plain ? COOLDOWN_CONNECT_MS : COOLDOWN_SILENT_MS;

	if (!fwd_send_other(send) && !fwd_exchange_withdrawable(ex))
		return;
	if (fwd_path_doubted(ep)) {
		fwd_send_withdraw(send, false, "no_path_in_time");
		return;
	}
	if (plain && fwd_silence_unheard(ep, now)) {
		event_log(LOG_NOTICE, "endpoint_unheard",
		    "endpoint=%s silent_ms=%llu id=%s", ep->report.id,
		    (unsigned long long)(now -
			MIN(MAX(ep->heard_ms, ep->peer_heard_ms), now)),
		    ex->id);
		send_warn(send, now);
	}
	ep->cooldown_until_ms = MAX(ep->cooldown_until_ms, now + ms);
	fwd_send_withdraw(send, false, "no_connection_in_time");
}

/**
 * fwd_silence_check_connect() - check whether a connection takes too long.
 * @send: the send; its connection is not established yet
 * @now_ms: loop time
 */
void
fwd_silence_check_connect(struct fwd_send *send, uint64_t now_ms)
{
	const struct fwd_exchange *ex = send->exchange;
	bool plain = ex->model == NULL && ex->fwd->set.balance_spread;
	double timeout = fwd_silence_connect_ms(plain,
	    (double)ex->route->objective_ms, send->basis.usable);

	if (send->endpoint->pool.tunnels != NULL)
		timeout = MIN(timeout + CONNECT_TUNNEL_MS, CONNECT_TIMEOUT_MS);
	if ((double)(now_ms - send->basis.sent_ms) > timeout &&
	    now_ms >= ex->fwd->grace_until_ms)
		send_handle_no_connection(send, now_ms);
}

/* Starts a cooldown of a silent endpoint, warns others of it, and reports the
 * request as a suspect. */
static void
send_report_silence(struct fwd_send *send, uint64_t now)
{
	const struct fwd_exchange *ex = send->exchange;
	struct endpoint *ep = send->endpoint;

	if (now >= ep->cooldown_until_ms) {
		fwd_stats_count(&ex->fwd->stats, COUNT_SILENT_ENDPOINTS);
		event_log(LOG_NOTICE, "endpoint_silent",
		    "endpoint=%s silent_ms=%llu inflight=%u pending=%.0f "
		    "slowness=%.2f id=%s",
		    ep->report.id,
		    (unsigned long long)(now -
			MAX(send->heard_ms, ep->heard_ms)),
		    ep->inflight, ep->pending, ep->slowness, ex->id);
		/* Its idle connections may be dead as well. */
		net_pool_clear(&ep->pool);
		endpoint_note_silent(ep, now);
		send_warn(send, now);
	}
	if (!send->crash_suspected) {
		send->crash_suspected = true;
		fwd_poison_observe_crash(send, true);
	}
}

/**
 * fwd_silence_outlasted() - handle that a response goes on with one of two
 *sends.
 * @send: that send
 * @other: the other one; its endpoint is reported if it is silent while that of
 *	@send was not, so that it isn't the silence of all
 */
void
fwd_silence_outlasted(const struct fwd_send *send, struct fwd_send *other)
{
	uint64_t now = clock_loop_ms(send->exchange->fwd->loop);

	if (!send->found_silent && other->found_silent &&
	    fwd_silence_part(other, now) >= 1)
		send_report_silence(other, now);
}

/* Whether the silence of an endpoint is that of most. After a while it counts
 * by itself again, as endpoints that hang together would not be found. */
static bool
send_shares_silence(const struct fwd_send *send, uint64_t now)
{
	return (now - MIN(fwd_silence_heard_ms(send), now) < SHARED_MAX_MS &&
	    fwd_survey_is_shared(send, now));
}

/* Handles a silent endpoint. Silence that most endpoints share is not the fault
 * of each of them. */
static void
send_handle_silence(struct fwd_send *send, uint64_t now)
{
	bool shared = send_shares_silence(send, now);

	if (!shared)
		send_report_silence(send, now);
	fwd_hedge(send, "endpoint_silent", shared ? HEDGE_HEARD : HEDGE_ANY);
}

/**
 * fwd_silence_check() - check whether the endpoint of a send is silent.
 * @send: the send; its connection is established
 * @now_ms: loop time
 *
 * The send goes on, as silence alone is no reason to abort a response.
 */
void
fwd_silence_check(struct fwd_send *send, uint64_t now_ms)
{
	enum fwd_path_verdict verdict = fwd_path_judge(send, now_ms);

	send->path_doubted = verdict != FWD_PATH_SOUND;
	send->path_lost = verdict == FWD_PATH_LOST;
	send->found_silent =
	    verdict == FWD_PATH_SOUND && fwd_silence_part(send, now_ms) >= 1;
	send->was_silent |= send->found_silent;
	if (send->path_lost)
		fwd_hedge(send, "path_lost", HEDGE_ANY);
	else if (send->found_silent)
		send_handle_silence(send, now_ms);
}
