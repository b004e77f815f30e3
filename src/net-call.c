/*
 * HTTP calls whose response is kept in memory until it is complete; used for
 * the store, and for orders and queries to endpoints.
 */
#include "clock.h"
#include "event-log.h"
#include "net-address.h"
#include "net-call.h"

/* Longest idle time of a pooled connection that is used again; a shorter time
 * that the peer names takes precedence. */
#define CALL_IDLE_MS 10000

/**
 * struct net_call - one call.
 * @conn: its connection; NULL once the exchange has ended
 * @timer: runs out at @end_ms, or when nothing has arrived for @silence_ms
 * @end_ms: loop time at which it ends in any case
 * @silence_ms: see struct net_request
 * @response: the outcome, filled in as the response arrives
 * @body: body of the response
 * @max_bytes: largest body that is kept
 * @fn: completion callback; NULL once it was called or the call was cancelled
 * @arg: passed to @fn
 */
struct net_call {
	struct net_conn *conn;
	uv_timer_t timer;
	uint64_t end_ms;
	unsigned silence_ms;
	struct net_response response;
	GByteArray *body;
	size_t max_bytes;
	net_call_fn *fn;
	void *arg;
};

static void
on_timer_closed(uv_handle_t *handle)
{
	struct net_call *call = handle->data;

	g_byte_array_free(call->body, TRUE);
	g_free(call);
}

/* Calls the completion callback, if any, and frees the call. */
static void
call_end(struct net_call *call)
{
	net_call_fn *fn = call->fn;

	call->fn = NULL;
	uv_timer_stop(&call->timer);
	if (fn != NULL)
		fn(call->arg, &call->response);
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
on_timeout(uv_timer_t *timer)
{
	struct net_call *call = timer->data;

	call->response.status = 0;
	call->response.reached = call->conn->connected;
	net_conn_abort(call->conn);
	call->conn = NULL;
	call_end(call);
}

/* Starts the timeout anew, at the start and when something has arrived. */
static void
call_start_timer(struct net_call *call)
{
	uint64_t now = clock_loop_ms(call->timer.loop);
	uint64_t left = call->end_ms - MIN(now, call->end_ms);

	if (call->silence_ms != 0)
		left = MIN(left, call->silence_ms);
	uv_timer_start(&call->timer, on_timeout, left, 0);
}

static enum net_head_action
call_head(void *owner, unsigned status, const struct net_head *head)
{
	struct net_call *call = owner;

	call->response.status = status;
	call_start_timer(call);
	return (NET_ACCEPT);
}

/* Ends a call whose response is too large to be kept. */
static void
call_refuse_body(struct net_call *call)
{
	g_autofree char *peer = net_address_format(&call->conn->pool->addr);

	event_log(LOG_ERR, "response_ignored",
	    "peer=%s max=%zu reason=body_too_large", peer, call->max_bytes);
	call->response.status = 0;
	call->response.reached = true;
	net_conn_abort(call->conn);
	call->conn = NULL;
	call_end(call);
}

static void
call_body(void *owner, const char *at, size_t length)
{
	struct net_call *call = owner;

	if (length > call->max_bytes - call->body->len) {
		call_refuse_body(call);
		return;
	}
	g_byte_array_append(call->body, (const guint8 *)at, (guint)length);
	call_start_timer(call);
}

static void
call_done(void *owner, enum net_framing framing)
{
	struct net_call *call = owner;

	call->conn = NULL;
	call_end(call);
}

static void
call_failed(void *owner, enum net_failure reason)
{
	struct net_call *call = owner;

	call->conn = NULL;
	call->response.status = 0;
	call->response.reached = reason != NET_CONNECT_FAILED;
	call_end(call);
}

static const struct net_conn_ops call_ops = {
	.head = call_head,
	.body = call_body,
	.done = call_done,
	.failed = call_failed,
};

/* Sends the request of a call. */
static void
call_send(struct net_call *call, const struct net_pool *pool,
    const struct net_request *req)
{
	g_autoptr(GString) text = g_string_sized_new(256 + req->length);
	g_autofree char *host = net_address_format(&pool->addr);

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n",
	    req->method, req->target, host);
	if (req->headers != NULL)
		g_string_append(text, req->headers);
	if (req->content_type != NULL)
		g_string_append_printf(text,
		    "Content-Type: %s\r\nContent-Length: %zu\r\n",
		    req->content_type, req->length);
	g_string_append(text, "\r\n");
	if (req->length > 0)
		g_string_append_len(text, req->body, (gssize)req->length);
	net_conn_send(call->conn, text->str, text->len, false);
}

/**
 * net_call_start() - start a call.
 * @pool: connections to the peer
 * @req: the request
 * @timeout_ms: bound on the whole call
 * @fn: called once when the call ends, never from within this function
 * @arg: passed to @fn
 *
 * Return: the call, or NULL if no connection can be started.
 */
struct net_call *
net_call_start(struct net_pool *pool, const struct net_request *req,
    unsigned timeout_ms, net_call_fn *fn, void *arg)
{
	struct net_call *call = g_new0(struct net_call, 1);

	call->conn = net_pool_take(pool, CALL_IDLE_MS, &call_ops, call);
	if (call->conn == NULL) {
		g_free(call);
		return (NULL);
	}
	call->body = g_byte_array_new();
	call->max_bytes = req->response_max_bytes != 0 ?
	    req->response_max_bytes :
	    NET_CALL_RESPONSE_MAX_BYTES;
	call->response.body = call->body;
	call->response.sent_ms = clock_loop_ms(pool->loop);
	call->fn = fn;
	call->arg = arg;
	uv_timer_init(pool->loop, &call->timer);
	call->timer.data = call;
	call->end_ms = call->response.sent_ms + timeout_ms;
	call->silence_ms = req->silence_ms;
	call_start_timer(call);
	call_send(call, pool, req);
	return (call);
}

/**
 * net_call_cancel() - end a call without calling its completion callback.
 * @call: the call
 */
void
net_call_cancel(struct net_call *call)
{
	call->fn = NULL;
	if (call->conn != NULL)
		net_conn_abort(call->conn);
	call->conn = NULL;
	call_end(call);
}
