/* The forwarding engine: callers on one side, endpoints on the other. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

#define BACKLOG 512
/* How often times are looked at while there are exchanges; a tenth of the
 * shortest bound that hangs on it. */
#define TICK_BUSY_MS 25
#define TICK_IDLE_MS 250
/* A tick this late means that this process stood still. */
#define PAUSE_MS 200
/* Time after a pause in which what piled up is read first. */
#define BLIND_MS 400

static void
on_connection(uv_stream_t *listener, int status)
{
	if (status == 0)
		fwd_conn_accept(listener->data, listener);
}

/* Looks at every exchange; each may end and free itself. */
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
tick_callers(struct fwd *fwd, uint64_t now)
{
	struct fwd_conn *c, *next;

	for (c = TAILQ_FIRST(&fwd->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		fwd_conn_tick(c, now);
	}
}

/* Those that wait, the more urgent first. */
static void
try_waiting(struct fwd *fwd)
{
	struct fwd_exchange *ex = TAILQ_FIRST(&fwd->queue);

	while (ex != NULL) {
		struct fwd_exchange *next = TAILQ_NEXT(ex, queue_entry);

		fwd_exchange_dispatch(ex);
		ex = next;
	}
}

static void
on_tick(uv_timer_t *timer)
{
	struct fwd *fwd = timer->data;
	uint64_t now = clock_loop_ms(fwd->loop);

	if (fwd->last_tick_ms != 0 &&
	    now - fwd->last_tick_ms > TICK_IDLE_MS + PAUSE_MS) {
		fwd->grace_until_ms = now + BLIND_MS;
		event_log(LOG_NOTICE, "paused", "ms=%llu",
		    (unsigned long long)(now - fwd->last_tick_ms));
	}
	fwd->last_tick_ms = now;
	tick_exchanges(fwd, now);
	try_waiting(fwd);
	tick_callers(fwd, now);
	uv_timer_start(timer, on_tick,
	    fwd->n_exchanges > 0 ? TICK_BUSY_MS : TICK_IDLE_MS, 0);
}

/* Gives freed places to those that wait, and reads held requests. */
static void
on_kick(uv_timer_t *timer)
{
	struct fwd *fwd = timer->data;

	try_waiting(fwd);
	tick_callers(fwd, clock_loop_ms(fwd->loop));
}

/**
 * fwd_tick_soon() - an exchange began: look at times often again.
 * @fwd: the engine
 */
void
fwd_tick_soon(struct fwd *fwd)
{
	if (fwd->n_exchanges == 1)
		uv_timer_start(&fwd->tick, on_tick, TICK_BUSY_MS, 0);
}

/**
 * fwd_schedule_dispatch() - look at waiting exchanges and held requests soon.
 * @fwd: the engine
 */
void
fwd_schedule_dispatch(struct fwd *fwd)
{
	if (!uv_is_active((uv_handle_t *)&fwd->dispatch_timer))
		uv_timer_start(&fwd->dispatch_timer, on_kick, 0, 0);
}

/**
 * fwd_budget_get() - the retry budget of a service.
 * @fwd: the engine
 * @service: its name
 */
struct fwd_budget *
fwd_budget_get(struct fwd *fwd, const char *service)
{
	struct fwd_budget *b = g_hash_table_lookup(fwd->budgets, service);

	if (b == NULL) {
		b = g_new0(struct fwd_budget, 1);
		g_hash_table_insert(fwd->budgets, g_strdup(service), b);
	}
	return (b);
}

/**
 * fwd_estimate_get() - what answers of a model or service showed.
 * @fwd: the engine
 * @name: of the model, or of a service without models
 */
struct fwd_estimate *
fwd_estimate_get(struct fwd *fwd, const char *name)
{
	struct fwd_estimate *learned =
	    g_hash_table_lookup(fwd->estimates, name);

	if (learned == NULL) {
		learned = g_new0(struct fwd_estimate, 1);
		g_hash_table_insert(fwd->estimates, g_strdup(name), learned);
	}
	return (learned);
}

/**
 * fwd_open() - start the engine.
 * @fwd: the engine; wire, dir and set are filled in
 * @loop: the event loop
 * @addr: where callers connect
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
	fwd->budgets =
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
		rc = uv_listen((uv_stream_t *)&fwd->listener, BACKLOG,
		    on_connection);
	return (rc);
}

/**
 * fwd_drain() - close each connection after its next answer.
 * @fwd: the engine
 */
void
fwd_drain(struct fwd *fwd)
{
	fwd->draining = true;
}

/**
 * fwd_stop_listening() - take no new connections.
 * @fwd: the engine
 */
void
fwd_stop_listening(struct fwd *fwd)
{
	if (fwd->listener_closed)
		return;
	fwd->listener_closed = true;
	uv_close((uv_handle_t *)&fwd->listener, NULL);
}

/**
 * fwd_close_conns() - close connections.
 * @fwd: the engine
 * @busy: also those with a request in progress
 */
void
fwd_close_conns(struct fwd *fwd, bool busy)
{
	struct fwd_conn *c, *next;

	for (c = TAILQ_FIRST(&fwd->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (c->exchange != NULL && busy)
			fwd_exchange_abort(c->exchange, "daemon_ends");
		else if (c->exchange == NULL && !c->started &&
		    !c->stream.write_shutdown)
			net_stream_close(&c->stream);
	}
}

/**
 * fwd_conns_drained() - whether no caller waits for anything.
 * @fwd: the engine
 *
 * Those that still read an answer have it in their hands: the system goes on
 * sending it when the process is gone.
 */
bool
fwd_conns_drained(const struct fwd *fwd)
{
	const struct fwd_conn *c;

	TAILQ_FOREACH(c, &fwd->conns, entry) {
		if (!c->stream.closing && !c->stream.write_shutdown)
			return (false);
		if (c->stream.queued > 0)
			return (false);
	}
	return (true);
}
