/* The head of an HTTP message: request target and headers in one buffer. */
#include <math.h>
#include <string.h>
#include <strings.h>

#include "net-head.h"

/* Headers that are not forwarded: those that concern one connection only
 * (RFC 9110, 7.6.1), and those with which the proxy deals itself. */
static const char *const hop_by_hop_names[] = { "connection", "keep-alive",
	"proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
	"trailer", "transfer-encoding", "upgrade", "content-length", "expect" };

/**
 * net_head_init() - initialize an empty head.
 * @head: the head
 */
void
net_head_init(struct net_head *head)
{
	memset(head, 0, sizeof *head);
	head->text = g_string_sized_new(512);
}

/**
 * net_head_clear() - free the buffer of a head.
 * @head: the head
 */
void
net_head_clear(struct net_head *head)
{
	g_string_free(head->text, TRUE);
	head->text = NULL;
}

/**
 * net_head_reset() - empty a head for the next message.
 * @head: the head
 */
void
net_head_reset(struct net_head *head)
{
	g_string_truncate(head->text, 0);
	head->target_length = 0;
	head->n_fields = 0;
	head->in_value = false;
	head->too_large = false;
}

/**
 * net_string_release() - empty a connection's buffer, and free its memory if
 *	that is large.
 * @string: the buffer
 */
void
net_string_release(GString **string)
{
	g_string_truncate(*string, 0);
	if ((*string)->allocated_len <= NET_BUFFER_KEPT_BYTES)
		return;
	g_string_free(*string, TRUE);
	*string = g_string_new(NULL);
}

/**
 * net_head_release() - empty a head whose connection is idle.
 * @head: the head
 */
void
net_head_release(struct net_head *head)
{
	net_head_reset(head);
	net_string_release(&head->text);
}

/**
 * net_head_add_target() - append bytes of the request target.
 * @head: the head
 * @at: the bytes
 * @length: number of bytes
 */
void
net_head_add_target(struct net_head *head, const char *at, size_t length)
{
	g_string_append_len(head->text, at, (gssize)length);
	head->target_length += (unsigned)length;
}

/**
 * net_head_add_name() - append bytes of a header's name.
 * @head: the head
 * @at: the bytes
 * @length: number of bytes
 */
void
net_head_add_name(struct net_head *head, const char *at, size_t length)
{
	if (head->in_value || head->n_fields == 0) {
		net_head_close_value(head);
		if (head->n_fields == NET_HEAD_FIELDS_MAX) {
			head->too_large = true;
			return;
		}
		g_string_append_c(head->text, '\0');
		head->fields[head->n_fields].name = (unsigned)head->text->len;
		head->n_fields++;
	}
	g_string_append_len(head->text, at, (gssize)length);
}

/**
 * net_head_add_value() - append bytes of the last header's value.
 * @head: the head
 * @at: the bytes
 * @length: number of bytes
 */
void
net_head_add_value(struct net_head *head, const char *at, size_t length)
{
	if (head->too_large || head->n_fields == 0)
		return;
	if (!head->in_value) {
		g_string_append_c(head->text, '\0');
		head->fields[head->n_fields - 1].value =
		    (unsigned)head->text->len;
		head->in_value = true;
	}
	g_string_append_len(head->text, at, (gssize)length);
}

/**
 * net_head_close_value() - complete the last header.
 * @head: the head
 *
 * A header without a value gets an empty one.
 */
void
net_head_close_value(struct net_head *head)
{
	if (head->n_fields > 0 && !head->in_value)
		net_head_add_value(head, "", 0);
	head->in_value = false;
}

/**
 * net_head_target() - get the request target.
 * @head: the head
 *
 * Return: the target; empty in a response.
 */
const char *
net_head_target(const struct net_head *head)
{
	return (head->text->str);
}

/**
 * net_head_name() - get the name of a header.
 * @head: the head
 * @i: index of the header
 */
const char *
net_head_name(const struct net_head *head, unsigned i)
{
	return (head->text->str + head->fields[i].name);
}

/**
 * net_head_value() - get the value of a header.
 * @head: the head
 * @i: index of the header
 */
const char *
net_head_value(const struct net_head *head, unsigned i)
{
	return (head->text->str + head->fields[i].value);
}

/**
 * net_head_find() - get the value of the first header of a name.
 * @head: the head
 * @name: the name, in any case
 *
 * Return: the value, or NULL.
 */
const char *
net_head_find(const struct net_head *head, const char *name)
{
	for (unsigned i = 0; i < head->n_fields; i++) {
		if (strcasecmp(net_head_name(head, i), name) == 0)
			return (net_head_value(head, i));
	}
	return (NULL);
}

/**
 * net_head_count() - count the headers of a name.
 * @head: the head
 * @name: the name, in any case
 */
unsigned
net_head_count(const struct net_head *head, const char *name)
{
	unsigned n = 0;

	for (unsigned i = 0; i < head->n_fields; i++)
		n += strcasecmp(net_head_name(head, i), name) == 0;
	return (n);
}

/**
 * net_head_parse_decimal() - parse a value that must be one decimal number.
 * @value: the value
 *
 * Return: the number, or NAN if the value is anything else.
 */
double
net_head_parse_decimal(const char *value)
{
	char *end;
	double n = g_ascii_strtod(value, &end);

	return (end != value && *end == '\0' ? n : NAN);
}

/* Returns whether a comma-separated list contains a token, in any case. */
static bool
list_contains(const char *list, const char *token)
{
	size_t length = strlen(token);
	const char *at = list;

	while (*at != '\0') {
		size_t n;

		at += strspn(at, ", \t");
		n = strcspn(at, ", \t");
		if (n == length && strncasecmp(at, token, n) == 0)
			return (true);
		at += n;
	}
	return (false);
}

/**
 * net_head_hop_by_hop() - whether a header must not be forwarded.
 * @head: the head
 * @i: index of the header
 */
bool
net_head_hop_by_hop(const struct net_head *head, unsigned i)
{
	const char *name = net_head_name(head, i);

	for (size_t k = 0; k < G_N_ELEMENTS(hop_by_hop_names); k++) {
		if (strcasecmp(name, hop_by_hop_names[k]) == 0)
			return (true);
	}
	for (unsigned k = 0; k < head->n_fields; k++) {
		if (strcasecmp(net_head_name(head, k), "connection") == 0 &&
		    list_contains(net_head_value(head, k), name))
			return (true);
	}
	return (false);
}
