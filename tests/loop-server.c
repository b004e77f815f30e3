/* A server in the event loop of a test: sends the same bytes to each request.
 */
#include <CUnit/Basic.h>
#include <string.h>

#include "loop-server.h"

/* A connection that the server accepted. */
struct peer {
	struct loop_server *server;
	uv_tcp_t tcp;
	uv_write_t write;
	uv_shutdown_t shutdown;
	uv_timer_t timer;
	unsigned handles;
	size_t sent;
	char in[4096];
};

static void
peer_free(uv_handle_t *handle)
{
	struct peer *p = handle->data;

	if (--p->handles == 0)
		g_free(p);
}

static void
peer_close(struct peer *p)
{
	uv_close((uv_handle_t *)&p->tcp, peer_free);
	uv_close((uv_handle_t *)&p->timer, peer_free);
}

static void
peer_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct peer *p = handle->data;

	*buf = uv_buf_init(p->in, sizeof p->in);
}

/* Sends the next piece of the response. */
static void
peer_send_piece(uv_timer_t *timer)
{
	struct peer *p = timer->data;
	struct loop_server *s = p->server;
	size_t n = MIN(s->piece_bytes, s->response->len - p->sent);
	uv_buf_t out = uv_buf_init(s->response->str + p->sent, (unsigned)n);

	uv_try_write((uv_stream_t *)&p->tcp, &out, 1);
	p->sent += n;
	if (p->sent < s->response->len)
		uv_timer_start(&p->timer, peer_send_piece, s->piece_ms, 0);
}

/* Sends the response to each request; all requests are short. */
static void
peer_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct peer *p = stream->data;
	struct loop_server *s = p->server;
	uv_buf_t out =
	    uv_buf_init(s->response->str, (unsigned)s->response->len);

	if (n < 0) {
		peer_close(p);
		return;
	}
	s->n_requests++;
	if (s->piece_bytes > 0) {
		peer_send_piece(&p->timer);
		return;
	}
	uv_write(&p->write, stream, &out, 1, NULL);
	if (s->closes)
		uv_shutdown(&p->shutdown, stream, NULL);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct peer *p = g_new0(struct peer, 1);

	p->server = listener->data;
	uv_tcp_init(listener->loop, &p->tcp);
	p->tcp.data = p;
	uv_timer_init(listener->loop, &p->timer);
	p->timer.data = p;
	p->handles = 2;
	uv_accept(listener, (uv_stream_t *)&p->tcp);
	uv_read_start((uv_stream_t *)&p->tcp, peer_alloc, peer_read);
}

/* Opens the server, at any port, and a pool of connections to it. */
void
loop_server_open(struct loop_server *s)
{
	struct sockaddr_in addr;
	int length = sizeof addr;

	memset(s, 0, sizeof *s);
	uv_loop_init(&s->loop);
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_init(&s->loop, &s->listener);
	s->listener.data = s;
	uv_tcp_bind(&s->listener, (struct sockaddr *)&addr, 0);
	uv_listen((uv_stream_t *)&s->listener, 8, on_connection);
	uv_tcp_getsockname(&s->listener, (struct sockaddr *)&addr, &length);
	net_pool_init(&s->pool, &s->loop, &addr);
	s->response = g_string_new(NULL);
}

/* Closes the server, and checks that nothing is left in its loop. */
void
loop_server_close(struct loop_server *s)
{
	net_pool_clear(&s->pool);
	uv_close((uv_handle_t *)&s->listener, NULL);
	uv_run(&s->loop, UV_RUN_DEFAULT);
	CU_ASSERT_EQUAL(uv_loop_close(&s->loop), 0);
	g_string_free(s->response, TRUE);
}
