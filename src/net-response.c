/*
 * Parses the responses on an outgoing connection: the status line, heads and
 * bodies of the response to its request, and what comes before that.
 */
#include <stdlib.h>
#include <string.h>

#include "net-conn.h"
#include "net-response.h"

/* Returns the idle timeout named by the response's Keep-Alive header. */
static uint64_t
conn_idle_timeout_ms(const struct net_conn *conn)
{
	const char *value = net_head_find(&conn->head, "keep-alive");
	const char *at = value != NULL ? strstr(value, "timeout=") : NULL;
	uint64_t ms;

	if (at == NULL)
		return (NET_IDLE_DEFAULT_MS);
	ms = strtoull(at + strlen("timeout="), NULL, 10) * 1000;
	return (ms > NET_IDLE_MARGIN_MS ? ms - NET_IDLE_MARGIN_MS : 0);
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *conn = parser->data;

	if (!net_head_name_valid(at, length))
		return (-1);
	net_head_add_name(&conn->head, at, length);
	return (0);
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *conn = parser->data;

	net_head_add_value(&conn->head, at, length);
	return (0);
}

static int
on_begin(http_parser *parser)
{
	struct net_conn *conn = parser->data;

	/* A second response in the same read belongs to no request. */
	if (conn->complete)
		return (-1);
	net_head_reset(&conn->head);
	conn->line_bytes = 1;
	/* The status line is checked from its second byte on. */
	http_parser_pause(parser, 1);
	return (0);
}

/* Counts bytes that belong to no exchange; returns false if they are too many.
 */
static bool
conn_skip(struct net_conn *conn, size_t length)
{
	conn->skipped_bytes += length;
	return (conn->skipped_bytes <= NET_SKIPPED_MAX_BYTES);
}

/* Passes the head of a final response on. Returns false if the owner rejects
 * it. */
static bool
conn_pass_head(struct net_conn *conn)
{
	enum net_head_action action;

	if (conn->ops == NULL)
		return (true);
	action =
	    conn->ops->head(conn->owner, conn->parser.status_code, &conn->head);
	conn->skipping = action == NET_SKIP;
	if (conn->skipping)
		conn->no_reuse = true;
	if (action == NET_REJECT)
		conn->fault = "rejected";
	return (action != NET_REJECT);
}

/* Reads a head. Returns false if it is not that of a response to this request.
 */
static bool
conn_read_head(struct net_conn *conn)
{
	enum net_head_kind kind =
	    net_head_check(&conn->head, &conn->parser, &conn->fault);

	if (kind == NET_HEAD_INVALID)
		return (false);
	if (kind == NET_HEAD_FINAL)
		return (conn_pass_head(conn));
	conn->skipping = true;
	return (conn_skip(conn, conn->head.text->len + NET_HEAD_MIN_BYTES));
}

static int
on_head(http_parser *parser)
{
	struct net_conn *conn = parser->data;
	bool to_head;

	net_head_close_value(&conn->head);
	if (!conn_read_head(conn))
		return (-1);
	to_head = conn->head_request && !conn->skipping;
	return (to_head || !net_status_has_body(parser->status_code) ? 1 : 0);
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *conn = parser->data;

	if (conn->skipping)
		return (conn_skip(conn, length) ? 0 : -1);
	if (conn->ops != NULL)
		conn->ops->body(conn->owner, at, length);
	return (0);
}

static int
on_complete(http_parser *parser)
{
	struct net_conn *conn = parser->data;

	if (conn->skipping)
		return (0);
	conn->complete = true;
	conn->idle_timeout_ms = conn_idle_timeout_ms(conn);
	if (!http_should_keep_alive(parser))
		conn->no_reuse = true;
	return (0);
}

static const http_parser_settings response_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Checks the next bytes if they are the start of a status line. */
static bool
conn_check_line(struct net_conn *conn, const char *at, size_t length)
{
	size_t n = MIN(length, NET_STATUS_LINE_BYTES - conn->line_bytes);

	if (!net_status_line_valid(conn->line_bytes, at, n)) {
		conn->fault = "status_line";
		return (false);
	}
	conn->line_bytes += (unsigned)n;
	return (true);
}

/**
 * net_response_parse() - parse bytes up to the end of the response.
 * @conn: the connection, which has an exchange; it may have lost it afterwards
 * @at: the bytes
 * @length: number of bytes
 *
 * Return: false if they aren't part of a response.
 */
bool
net_response_parse(struct net_conn *conn, const char *at, size_t length)
{
	while (length > 0) {
		enum http_errno rc;
		size_t used;

		if (!conn_check_line(conn, at, length))
			return (false);
		used = http_parser_execute(&conn->parser, &response_settings,
		    at, length);
		rc = HTTP_PARSER_ERRNO(&conn->parser);
		if (rc == HPE_PAUSED)
			http_parser_pause(&conn->parser, 0);
		if (rc != HPE_PAUSED && (rc != HPE_OK || used != length))
			return (false);
		at += used;
		length -= used;
	}
	return (true);
}

/**
 * net_response_end() - end a response at the regular close of its connection.
 * @conn: the connection; complete afterwards if the response had no length
 */
void
net_response_end(struct net_conn *conn)
{
	conn->framing = NET_UNTIL_CLOSE;
	http_parser_execute(&conn->parser, &response_settings, "", 0);
	conn->no_reuse = true;
}
