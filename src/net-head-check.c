/* What is a response in HTTP/1.1 (RFC 9110, RFC 9112). Pure. */
#include <strings.h>

#include "net-head-check.h"

/* Largest status (RFC 9110, 15). */
#define STATUS_MAX 599

/* The start of a status line; '0' stands for any digit, and the last byte may
 * also begin the end of the line. */
static const char status_line[] = "HTTP/1.0 000 ";

/* Whether a byte may stand at a place in the start of a status line. */
static bool
status_line_fits(unsigned at, char c)
{
	if (at == NET_STATUS_LINE_BYTES - 1)
		return (c == ' ' || c == '\r' || c == '\n');
	if (status_line[at] == '0')
		return (g_ascii_isdigit(c));
	return (c == status_line[at]);
}

/**
 * net_status_line_valid() - check bytes of a status line.
 * @at: place of the first byte in the line
 * @bytes: the bytes
 * @length: number of bytes; those after the status are not looked at
 *
 * The parser accepts a status with leading zeros or of fewer digits.
 */
bool
net_status_line_valid(unsigned at, const char *bytes, size_t length)
{
	for (; length > 0 && at < NET_STATUS_LINE_BYTES; at++, bytes++) {
		if (!status_line_fits(at, *bytes))
			return (false);
		length--;
	}
	return (true);
}

/* Whether each field that tells where the body ends can be understood. A length
 * without a value is not noticed by the parser. */
static bool
framing_valid(const struct net_head *head, const http_parser *parser)
{
	const char *coding = net_head_find(head, "transfer-encoding");

	if (net_head_find(head, "content-length") != NULL &&
	    (parser->flags & F_CONTENTLENGTH) == 0)
		return (false);
	if (coding == NULL)
		return (true);
	return (net_head_count(head, "transfer-encoding") == 1 &&
	    strcasecmp(coding, "chunked") == 0 && parser->http_minor > 0);
}

/**
 * net_status_valid() - whether a response may have a status; an upgrade is
 *	never asked for.
 * @status: the status
 */
bool
net_status_valid(unsigned status)
{
	return (status >= HTTP_STATUS_CONTINUE && status <= STATUS_MAX &&
	    status != HTTP_STATUS_SWITCHING_PROTOCOLS);
}

/**
 * net_head_check() - check the complete head of a message.
 * @head: the head
 * @parser: the parser that read it
 * @reason: set to a reason for the log if it is invalid
 *
 * The parser has checked the characters of names and values, and that lengths
 * don't contradict each other.
 */
enum net_head_kind
net_head_check(const struct net_head *head, const http_parser *parser,
    const char **reason)
{
	unsigned status = parser->status_code;

	if (!net_status_valid(status))
		*reason = "status";
	else if (head->too_large)
		*reason = "too_many_fields";
	else if (!framing_valid(head, parser))
		*reason = "framing";
	else
		return (status < HTTP_STATUS_OK ? NET_HEAD_INTERIM :
						  NET_HEAD_FINAL);
	return (NET_HEAD_INVALID);
}

/**
 * net_status_has_body() - whether responses with a status have a body, to other
 *	methods than HEAD.
 * @status: the status
 */
bool
net_status_has_body(unsigned status)
{
	return (status >= HTTP_STATUS_OK && status != HTTP_STATUS_NO_CONTENT &&
	    status != HTTP_STATUS_NOT_MODIFIED);
}
