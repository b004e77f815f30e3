/* Responses on a client's connection. */
#include "clock.h"
#include "fwd-conn.h"
#include "fwd-exchange.h"
#include "net-head-check.h"

/* Writes the status line and the headers that every response has. */
static void
conn_write_head(struct fwd_conn *c, unsigned status, const char *headers)
{
	g_string_append_printf(c->out, "HTTP/1.1 %u %s\r\n", status,
	    http_status_str(status));
	if (headers != NULL)
		g_string_append(c->out, headers);
	/* Pipelined requests are answered too, the last one with the close. */
	if (c->fwd->drain.end_ms != 0 && c->pipelined->len == 0)
		c->keep_alive = false;
	if (!c->keep_alive)
		g_string_append(c->out, "Connection: close\r\n");
}

/* Waits for the next request after a response, or ends the connection. */
static void
conn_end_response(struct fwd_conn *c)
{
	c->exchange = NULL;
	c->since_ms = clock_loop_ms(c->fwd->loop);
	fwd_conn_flush(c);
	if (!c->keep_alive) {
		net_stream_shutdown(&c->stream);
		return;
	}
	net_stream_set_reading(&c->stream, true);
	/* Pipelined bytes are parsed from the loop, not within the function
	 * that ended the exchange. */
	if (c->pipelined->len > 0)
		fwd_schedule_dispatch(c->fwd);
}

/**
 * fwd_conn_respond() - send a complete response.
 * @c: the connection
 * @status: status of the response
 * @headers: additional header lines, or NULL
 * @body: the body
 * @length: length of the body
 */
void
fwd_conn_respond(struct fwd_conn *c, unsigned status, const char *headers,
    const void *body, size_t length)
{
	bool has_body = net_status_has_body(status);

	conn_write_head(c, status, headers);
	if (has_body)
		g_string_append_printf(c->out, "Content-Length: %zu\r\n",
		    length);
	g_string_append(c->out, "\r\n");
	if (length > 0 && has_body && !c->head_only)
		g_string_append_len(c->out, body, (gssize)length);
	conn_end_response(c);
}

/**
 * fwd_conn_refuse() - send a response of the proxy without a body.
 * @c: the connection
 * @status: status of the response
 * @headers: additional header lines, or NULL
 * @retry_ms: time after which the client should retry; negative for none
 */
void
fwd_conn_refuse(struct fwd_conn *c, unsigned status, const char *headers,
    int64_t retry_ms)
{
	g_autoptr(GString) lines = g_string_new(headers);

	if (retry_ms >= 0)
		g_string_append_printf(lines, "Retry-After: %.3f\r\n",
		    (double)retry_ms / 1000);
	fwd_conn_respond(c, status, lines->str, NULL, 0);
}

/**
 * fwd_conn_begin() - begin a response of unknown length.
 * @c: the connection
 * @status: status of the response
 * @headers: additional header lines
 */
void
fwd_conn_begin(struct fwd_conn *c, unsigned status, const char *headers)
{
	c->chunked = c->parser.http_major > 1 || c->parser.http_minor >= 1;
	if (!c->chunked)
		c->keep_alive = false;
	conn_write_head(c, status, headers);
	if (c->chunked)
		g_string_append(c->out, "Transfer-Encoding: chunked\r\n");
	g_string_append(c->out, "\r\n");
}

/**
 * fwd_conn_write() - append to the body of a response that was begun.
 * @c: the connection
 * @at: the bytes
 * @length: number of bytes
 *
 * The bytes are sent by fwd_conn_flush() or fwd_conn_end().
 */
void
fwd_conn_write(struct fwd_conn *c, const void *at, size_t length)
{
	if (length == 0 || c->head_only)
		return;
	if (c->chunked)
		g_string_append_printf(c->out, "%zx\r\n", length);
	g_string_append_len(c->out, at, (gssize)length);
	if (c->chunked)
		g_string_append(c->out, "\r\n");
}

/**
 * fwd_conn_flush() - pass buffered output to the byte stream.
 * @c: the connection
 */
void
fwd_conn_flush(struct fwd_conn *c)
{
	if (c->out->len == 0)
		return;
	net_stream_write(&c->stream, c->out->str, c->out->len);
	if (c->exchange == NULL) {
		net_string_release(&c->out);
		return;
	}
	g_string_truncate(c->out, 0);
	if (c->stream.queued > fwd_hold_limit(c->fwd))
		fwd_exchange_pause(c->exchange, true);
}

/**
 * fwd_conn_end() - complete a response that was begun.
 * @c: the connection
 */
void
fwd_conn_end(struct fwd_conn *c)
{
	if (c->chunked && !c->head_only)
		g_string_append(c->out, "0\r\n\r\n");
	conn_end_response(c);
}

/**
 * fwd_conn_abort() - close a connection whose response can't be completed.
 * @c: the connection
 *
 * The client sees that the response is truncated: by the missing last chunk, or
 * by a reset.
 */
void
fwd_conn_abort(struct fwd_conn *c)
{
	c->exchange = NULL;
	fwd_conn_flush(c);
	if (c->chunked && c->stream.queued == 0)
		net_stream_close(&c->stream);
	else
		net_stream_reset(&c->stream);
}
