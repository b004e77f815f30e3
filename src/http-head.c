/*
 * Head of a response that libcurl receives: one place says when it is whole.
 *
 * A server that closes in the middle of a head ends a transfer with CURLE_OK,
 * and the status is known by then. So each user of libcurl passes it the lines
 * of the head, and asks http_head_whole() in place of CURLE_OK.
 */
#include <string.h>

#include "http-head.h"
#include "net-head-check.h"

/* Place of the status in a status line. */
#define STATUS_AT 9

/**
 * http_head_init() - prepare for a transfer.
 * @head: the head
 */
void
http_head_init(struct http_head *head)
{
	memset(head, 0, sizeof *head);
	head->fields =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/**
 * http_head_clear() - free what a head holds; a cleanup function.
 * @head: the head; may be all zeros
 */
void
http_head_clear(struct http_head *head)
{
	g_clear_pointer(&head->fields, g_hash_table_unref);
}

/* Reads a status line. Returns false if it is not that of a response. */
static bool
read_status_line(struct http_head *head, const char *line, size_t length)
{
	/* The fields of an interim response are not the final one's. */
	g_hash_table_remove_all(head->fields);
	if (!net_status_line_valid(0, line, length) ||
	    length < NET_STATUS_LINE_BYTES)
		return (false);
	head->line_status = strtol(line + STATUS_AT, NULL, 10);
	return (net_status_valid((unsigned)head->line_status));
}

/* Reads a field. Returns false if the body has two lengths. */
static bool
read_field(struct http_head *head, char *line)
{
	char *colon = strchr(line, ':');
	g_autofree char *name = NULL;

	if (colon == NULL)
		return (true);
	*colon = '\0';
	name = g_ascii_strdown(line, -1);
	if (strcmp(name, "content-length") == 0 &&
	    g_hash_table_contains(head->fields, name))
		return (false);
	g_hash_table_replace(head->fields, g_steal_pointer(&name),
	    g_strdup(g_strstrip(colon + 1)));
	return (true);
}

/**
 * http_head_read() - read a line; callback as for CURLOPT_HEADERFUNCTION.
 * @data: the line
 * @size: 1
 * @n: its length
 * @arg: the struct http_head
 *
 * Trailers after the body are not looked at.
 *
 * Return: its length, or 0 if it is not that of a response in HTTP/1.1.
 */
size_t
http_head_read(char *data, size_t size, size_t n, void *arg)
{
	g_autofree char *line = g_strndup(data, size * n);
	struct http_head *head = arg;

	if (head->complete)
		return (size * n);
	if (g_str_has_prefix(line, "HTTP/"))
		return (read_status_line(head, line, size * n) ? size * n : 0);
	g_strchomp(line);
	if (line[0] == '\0') {
		head->status = head->line_status;
		head->complete = head->status >= HTTP_STATUS_OK;
		return (size * n);
	}
	return (read_field(head, line) ? size * n : 0);
}

/**
 * http_head_watch() - prepare for a transfer, and have its head read.
 * @head: the head
 * @curl: the transfer
 */
void
http_head_watch(struct http_head *head, CURL *curl)
{
	http_head_init(head);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, http_head_read);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, head);
}

/**
 * http_head_whole() - whether a transfer that has ended brought a whole
 *	response.
 * @head: its head
 * @rc: its result
 *
 * A body without a length is whole when the connection closes (RFC 9112, 8).
 */
bool
http_head_whole(const struct http_head *head, CURLcode rc)
{
	return (rc == CURLE_OK && head->complete);
}

/**
 * http_head_error() - why a transfer brought no whole response.
 * @rc: its result
 */
const char *
http_head_error(CURLcode rc)
{
	return (rc != CURLE_OK ? curl_easy_strerror(rc) :
				 "the response was cut short");
}
