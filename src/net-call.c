/* One call with a whole answer in memory: the store, orders, reports. */
#include <arpa/inet.h>

#include "clock.h"
#include "net-call.h"

/* A pooled connection may be this idle; the peer's own limit goes first. */
#define CALL_IDLE_MS 10000
/* An answer larger than this is refused; the largest page is 1 MB in base64. */
#define CALL_ANSWER_BYTES (8u << 20)

/**
 * struct net_call - one call.
 * @client: its connection
 * @timer: its timeout
 * @answer: filled as it comes
 * @body: of the answer
 * @fn: told at the end; NULL once told
 * @arg: for @fn
 */
struct net_call {
	struct net_conn *client;
	uv_timer_t timer;
	struct net_response answer;
	GByteArray *body;
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

/* Tells the end and frees the call. */
static void
call_end(struct net_call *call)
{
	net_call_fn *fn = call->fn;

	call->fn = NULL;
	uv_timer_stop(&call->timer);
	if (fn != NULL)
		fn(call->arg, &call->answer);
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static enum net_head_action
call_head(void *owner, unsigned status, const struct net_head *head)
{
	struct net_call *call = owner;

	call->answer.status = status;
	return (NET_ACCEPT);
}

static void
call_body(void *owner, const char *at, size_t length)
{
	struct net_call *call = owner;

	if (call->body->len + length <= CALL_ANSWER_BYTES)
		g_byte_array_append(call->body, (const guint8 *)at,
		    (guint)length);
}

static void
call_done(void *owner)
{
	struct net_call *call = owner;

	call->client = NULL;
	call_end(call);
}

static void
call_failed(void *owner, enum net_failure why)
{
	struct net_call *call = owner;

	call->client = NULL;
	call->answer.status = 0;
	call->answer.reached = why != NET_CONNECT_FAILED;
	call_end(call);
}

static const struct net_conn_ops call_ops = {
	.head = call_head,
	.body = call_body,
	.done = call_done,
	.failed = call_failed,
};

static void
on_timeout(uv_timer_t *timer)
{
	struct net_call *call = timer->data;

	call->answer.status = 0;
	call->answer.reached = call->client->connected;
	net_conn_abort(call->client);
	call->client = NULL;
	call_end(call);
}

/* Sends the request of a call. */
static void
call_send(struct net_call *call, const struct net_pool *pool,
    const struct net_request *req)
{
	g_autoptr(GString) text = g_string_sized_new(256 + req->length);
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &pool->addr.sin_addr, ip, sizeof ip);
	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n",
	    req->method, req->target, ip, ntohs(pool->addr.sin_port));
	if (req->headers != NULL)
		g_string_append(text, req->headers);
	if (req->content_type != NULL)
		g_string_append_printf(text,
		    "Content-Type: %s\r\nContent-Length: %zu\r\n",
		    req->content_type, req->length);
	g_string_append(text, "\r\n");
	if (req->length > 0)
		g_string_append_len(text, req->body, (gssize)req->length);
	net_conn_send(call->client, text->str, text->len, false);
}

/**
 * net_call_start() - begin a call.
 * @pool: whom to call
 * @req: what to send
 * @timeout_ms: when to give up
 * @fn: told once at the end; not from inside this function
 * @arg: for @fn
 *
 * Return: the call, or NULL where no connection can be made.
 */
struct net_call *
net_call_start(struct net_pool *pool, const struct net_request *req,
    unsigned timeout_ms, net_call_fn *fn, void *arg)
{
	struct net_call *call = g_new0(struct net_call, 1);

	call->client = net_pool_take(pool, CALL_IDLE_MS, &call_ops, call);
	if (call->client == NULL) {
		g_free(call);
		return (NULL);
	}
	call->body = g_byte_array_new();
	call->answer.body = call->body;
	call->answer.sent_ms = clock_loop_ms(pool->loop);
	call->fn = fn;
	call->arg = arg;
	uv_timer_init(pool->loop, &call->timer);
	call->timer.data = call;
	uv_timer_start(&call->timer, on_timeout, timeout_ms, 0);
	call_send(call, pool, req);
	return (call);
}

/**
 * net_call_cancel() - end a call without telling anyone.
 * @call: the call
 */
void
net_call_cancel(struct net_call *call)
{
	call->fn = NULL;
	if (call->client != NULL)
		net_conn_abort(call->client);
	call->client = NULL;
	call_end(call);
}
