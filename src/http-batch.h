/* Many short HTTP calls at once, from one thread. */
#ifndef BL_HTTP_BATCH_H
#define BL_HTTP_BATCH_H

#include <sys/queue.h>

#include <jansson.h>
#include <stdint.h>

/**
 * struct http_call - one call of a batch.
 * @url: the URL
 * @body: JSON to POST, or NULL for a GET; owned
 * @arg: the caller's own
 * @sent_ms: monotonic time just before the batch began
 * @status: HTTP status, 0 when there was no answer
 * @json: the answer, or NULL
 */
struct http_call {
	char *url;
	json_t *body;
	void *arg;
	uint64_t sent_ms;
	long status;
	json_t *json;
	TAILQ_ENTRY(http_call) entry;
};

TAILQ_HEAD(http_call_list, http_call);

struct http_batch;

struct http_batch *http_batch_create(void);
void http_batch_free(struct http_batch *);
void http_batch_add(struct http_batch *, const char *, json_t *, void *);
struct http_call_list *http_batch_calls(struct http_batch *);
struct http_call_list *http_batch_run(struct http_batch *, long);
void http_batch_reset(struct http_batch *);

#endif
