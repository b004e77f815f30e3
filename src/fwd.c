/* Reverse proxy: forwards the requests of clients to endpoints. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

#define LISTEN_BACKLOG 512
/* Tick interval while there are exchanges; a tenth of the shortest timeout that
 * depends on it. */
#define TICK_BUSY_MS 25
#define TICK_IDLE_MS 250
/* Requests under way are looked through this often for what has been
 * quarantined. */
#define WITHDRAW_EACH_MS 50
/* A tick this late means that this process was stopped. */
#define PAUSE_MS 200
/* Time after a pause in which the data that has queued up is read before any
 * endpoint is judged silent, or any client idle. */
#define PAUSE_GRACE_MS 400
/* A signal that was sent during a pause is handled within this time after it;
 * one that is handled later was sent later. */
#define PAUSE_SIGNAL_MS 50

static void
on_connection(uv_stream_t *listener, int status)
{
	if (status == 0)
		fwd_conn_accept(listener->data, listener);
}

/* Checks the timeouts of all exchanges; each may end and free itself. */
static void
tick_exchanges(struct fwd *fwd, uint64_t now)
{
	struct fwd_exchange *ex = TAILQ_FIRST(&fwd->exchanges);

	while (ex != NULL) {
		struct fwd_exchange *next = TAILQ_NEXT(ex, entry);

		fwd_exchange_tick(ex, now);
		ex = next;
	}
}

static void
tick_conns(struct fwd *fwd, uint64_t now)
{
	struct fwd_conn *c, *next;

	for (c = TAILQ_FIRST(&fwd->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		fwd_conn_tick(c, now);
	}
}

/* Withdraws requests that have been quarantined since they were sent. */
static void
withdraw_exchanges(struct fwd *fwd, uint64_t now)
{
	struct fwd_exchange *ex, *next;
	struct fwd_poison_refusal refusal;

	if (now - fwd->withdrawn_ms < WITHDRAW_EACH_MS ||
	    !fwd_poison_changed(fwd, now))
		return;
	fwd->withdrawn_ms = now;
	for (ex = TAILQ_FIRST(&fwd->exchanges); ex != NULL; ex = next) {
		next = TAILQ_NEXT(ex, entry);
		if (ex->state == EXCHANGE_SENT && fwd_exchange_retryable(ex) &&
		    fwd_poison_withdraws(ex, &refusal))
			fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY,
			    refusal.reason, refusal.retry_ms);
	}
}

/* Dispatches the queued exchanges, the most urgent first. */
static void
dispatch_queue(struct fwd *fwd)
{
	struct fwd_exchange *ex = TAILQ_FIRST(&fwd->queue);

	while (ex != NULL) {
		struct fwd_exchange *next = TAILQ_NEXT(ex, queue_entry);

		fwd_exchange_dispatch(ex);
		ex = next;
	}
}

/* Whether this process was stopped between two times, which are a tick apart
 * unless it was. */
static bool
is_pause(uint64_t last, uint64_t now)
{
	return (last != 0 && now - last > TICK_IDLE_MS + PAUSE_MS);
}

/* Notes a pause of this process: for a while nobody's silence is judged. */
static void
detect_pause(struct fwd *fwd, uint64_t now)
{
	uint64_t last = fwd->last_tick_ms;

	fwd->last_tick_ms = now;
	if (!is_pause(last, now))
		return;
	fwd->paused_ms = last;
	fwd->grace_until_ms = now + PAUSE_GRACE_MS;
	event_log(LOG_NOTICE, "paused", "ms=%llu",
	    (unsigned long long)(now - last));
}

static void
on_tick(uv_timer_t *timer)
{
	struct fwd *fwd = timer->data;
	uint64_t now = clock_loop_ms(fwd->loop);

	detect_pause(fwd, now);
	fwd_level_update_all(fwd, now);
	withdraw_exchanges(fwd, now);
	tick_exchanges(fwd, now);
	dispatch_queue(fwd);
	tick_conns(fwd, now);
	uv_timer_start(timer, on_tick,
	    fwd->n_exchanges > 0 ? TICK_BUSY_MS : TICK_IDLE_MS, 0);
}

/* Dispatches queued exchanges and reads pipelined requests. */
static void
on_dispatch(uv_timer_t *timer)
{
	struct fwd *fwd = timer->data;
	uint64_t now = clock_loop_ms(fwd->loop);

	detect_pause(fwd, now);
	dispatch_queue(fwd);
	tick_conns(fwd, now);
}

/**
 * fwd_tick_soon() - tick at the short interval again, now that an exchange
 * exists.
 * @fwd: the proxy
 */
void
fwd_tick_soon(struct fwd *fwd)
{
	if (fwd->n_exchanges == 1)
		uv_timer_start(&fwd->tick, on_tick, TICK_BUSY_MS, 0);
}

/**
 * fwd_awake_ms() - when this process was last known to run before events that
 *	are handled now.
 * @fwd: the proxy
 * @now: loop time
 *
 * Return: loop time of the last tick before a pause that has just ended; @now
 * if there was none.
 */
uint64_t
fwd_awake_ms(const struct fwd *fwd, uint64_t now)
{
	uint64_t since_ms = PAUSE_GRACE_MS - PAUSE_SIGNAL_MS;

	if (is_pause(fwd->last_tick_ms, now))
		return (fwd->last_tick_ms);
	return (now + since_ms < fwd->grace_until_ms ? fwd->paused_ms : now);
}

/**
 * fwd_schedule_dispatch() - dispatch queued exchanges and read pipelined
 *	requests in the next round of the loop.
 * @fwd: the proxy
 */
void
fwd_schedule_dispatch(struct fwd *fwd)
{
	if (!uv_is_active((uv_handle_t *)&fwd->dispatch_timer))
		uv_timer_start(&fwd->dispatch_timer, on_dispatch, 0, 0);
}

/**
 * fwd_open() - start the proxy.
 * @fwd: the proxy; wire, registry and set are filled in
 * @loop: the event loop
 * @addr: address to listen on for clients
 *
 * Return: 0, or a libuv error.
 */
int
fwd_open(struct fwd *fwd, uv_loop_t *loop, const struct sockaddr_in *addr)
{
	int rc;

	fwd->loop = loop;
	fwd->daemons = 1;
	TAILQ_INIT(&fwd->conns);
	TAILQ_INIT(&fwd->exchanges);
	TAILQ_INIT(&fwd->queue);
	TAILQ_INIT(&fwd->levels);
	fwd->budgets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fwd->surveys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fwd->estimates =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fwd_stats_init(&fwd->stats);
	uv_timer_init(loop, &fwd->tick);
	uv_timer_init(loop, &fwd->dispatch_timer);
	uv_tcp_init(loop, &fwd->listener);
	fwd->tick.data = fwd;
	fwd->dispatch_timer.data = fwd;
	fwd->listener.data = fwd;
	uv_timer_start(&fwd->tick, on_tick, TICK_IDLE_MS, 0);
	rc = uv_tcp_bind(&fwd->listener, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&fwd->listener, LISTEN_BACKLOG,
		    on_connection);
	return (rc);
}
