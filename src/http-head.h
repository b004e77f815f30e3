/* Head of a response that libcurl receives: one place says when it is whole. */
#ifndef BL_HTTP_HEAD_H
#define BL_HTTP_HEAD_H

#include <curl/curl.h>
#include <glib.h>
#include <stdbool.h>

/**
 * struct http_head - head of a response.
 * @status: status of the latest head that was received whole; 0 before
 * @line_status: status of the head that is being received
 * @complete: the head of the final response was received whole
 * @fields: its fields, lower-case name to value
 */
struct http_head {
	long status;
	long line_status;
	bool complete;
	GHashTable *fields;
};

void http_head_init(struct http_head *);
void http_head_watch(struct http_head *, CURL *);
void http_head_clear(struct http_head *);
size_t http_head_read(char *, size_t, size_t, void *);
bool http_head_whole(const struct http_head *, CURLcode);
const char *http_head_error(CURLcode);

#endif
