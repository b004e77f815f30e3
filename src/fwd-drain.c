/*
 * Graceful shutdown of the proxy: when connections are closed, and what becomes
 * of the requests that are left when the daemon ends.
 */
#include "clock.h"
#include "fwd-exchange.h"

/* Idle time after which a client's connection is closed. A client that sends
 * requests one after the other gets a response with "Connection: close" before.
 */
#define DRAIN_IDLE_MS 500

/**
 * fwd_drain() - close each client connection after its next response, and
 *	refuse what can't be served in time.
 * @fwd: the proxy
 * @window: times of the shutdown; fwd_drain_end() is to be called at its end.
 *	May be called again with other ones.
 */
void
fwd_drain(struct fwd *fwd, const struct fwd_drain_window *window)
{
	fwd->drain = *window;
}

/**
 * fwd_stop_listening() - close the listening socket.
 * @fwd: the proxy
 */
void
fwd_stop_listening(struct fwd *fwd)
{
	if (fwd->listener_closed)
		return;
	fwd->listener_closed = true;
	uv_close((uv_handle_t *)&fwd->listener, NULL);
}

/* Closes the connections that have been idle for so long. */
static void
close_idle(struct fwd *fwd, uint64_t idle_ms)
{
	uint64_t now = clock_loop_ms(fwd->loop);
	struct fwd_conn *c, *next;

	for (c = TAILQ_FIRST(&fwd->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (fwd_conn_idle(c) && now - c->since_ms >= idle_ms)
			net_stream_close(&c->stream);
	}
}

/**
 * fwd_drain_close_idle() - close idle client connections.
 * @fwd: the proxy
 */
void
fwd_drain_close_idle(struct fwd *fwd)
{
	close_idle(fwd, DRAIN_IDLE_MS);
}

/**
 * fwd_drain_done() - whether no client waits for anything.
 * @fwd: the proxy
 *
 * Responses that are with the kernel need not be waited for: it goes on sending
 * them when the process has exited.
 */
bool
fwd_drain_done(const struct fwd *fwd)
{
	const struct fwd_conn *c;

	if (fwd->n_exchanges > 0)
		return (false);
	TAILQ_FOREACH(c, &fwd->conns, entry) {
		if (!c->stream.closing && !c->stream.write_shutdown)
			return (false);
		if (c->stream.queued > 0)
			return (false);
	}
	return (true);
}

/* Withdraws a request from endpoints that it was not sent to yet, as a
 * connection to them is being made: it can't have run there. */
static void
withdraw_unsent(struct fwd_exchange *ex)
{
	struct fwd_send *send, *next;

	for (send = TAILQ_FIRST(&ex->active); send != NULL; send = next) {
		next = TAILQ_NEXT(send, entry);
		if (send->conn->connected)
			continue;
		fwd_send_note_reached(send, false);
		fwd_send_free(send);
	}
}

/**
 * fwd_drain_end() - end all requests that are left, each as truly as its state
 *	allows.
 * @fwd: the proxy
 *
 * A request that has not run is refused, also one whose body is still arriving;
 * one that may have run gets an error status; a response that was begun is
 * broken off. Responses leave with the next turns of the loop, in which
 * pipelined requests may arrive: it is to be called again until
 * fwd_drain_closed().
 */
void
fwd_drain_end(struct fwd *fwd)
{
	struct fwd_exchange *ex, *next_ex;
	struct fwd_conn *c, *next;

	for (ex = TAILQ_FIRST(&fwd->exchanges); ex != NULL; ex = next_ex) {
		next_ex = TAILQ_NEXT(ex, entry);
		withdraw_unsent(ex);
		fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY, "daemon_ends",
		    FWD_DRAIN_RETRY_MS);
	}
	for (c = TAILQ_FIRST(&fwd->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (fwd_conn_receiving(c))
			fwd_conn_refuse_unread(c, "daemon_ends",
			    FWD_DRAIN_RETRY_MS);
	}
	close_idle(fwd, 0);
}

/**
 * fwd_drain_closed() - whether all client connections are closed.
 * @fwd: the proxy
 */
bool
fwd_drain_closed(const struct fwd *fwd)
{
	return (TAILQ_EMPTY(&fwd->conns));
}
