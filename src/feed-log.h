/* The newest datagrams of entries, kept for daemons that missed one. */
#ifndef BL_FEED_LOG_H
#define BL_FEED_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "mesh-entries.h"

/**
 * struct feed_datagram - a datagram of entries.
 * @from: it has all records that changed from this store offset on
 * @end: up to this one
 * @stamp: when it was read and sent
 * @saved_ms: loop time at which it was saved
 * @n_requests: requests for it since it was last sent to the whole cell
 * @bytes: the datagram
 * @length: its length
 * @entry: in the log's list
 */
struct feed_datagram {
	uint64_t from;
	uint64_t end;
	struct mesh_stamp stamp;
	uint64_t saved_ms;
	unsigned n_requests;
	char *bytes;
	size_t length;
	TAILQ_ENTRY(feed_datagram) entry;
};

TAILQ_HEAD(feed_datagram_list, feed_datagram);

/**
 * struct feed_log - the kept datagrams.
 * @datagrams: the datagrams, oldest first
 * @n: number of them
 * @bytes: their total length
 */
struct feed_log {
	struct feed_datagram_list datagrams;
	unsigned n;
	size_t bytes;
};

void feed_log_init(struct feed_log *);
void feed_log_clear(struct feed_log *);
bool feed_log_add(struct feed_log *, const struct mesh_entries *, const char *,
    size_t, uint64_t);

#endif
