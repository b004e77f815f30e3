/* Splits a stream of server-sent events into events. Pure. */
#ifndef BL_FWD_EVENTS_H
#define BL_FWD_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Maximum size of an event; an endpoint that sends a larger one is broken. */
#define FWD_EVENT_MAX_BYTES (1u << 20)

/**
 * enum fwd_event_verdict - what to do with the next event.
 * @FWD_EVENT_NONE: no event is complete yet
 * @FWD_EVENT_PASS: pass it on; it follows the last one or has no id
 * @FWD_EVENT_SKIP: drop it; the client has it already
 * @FWD_EVENT_GAP: an event is missing before it; the stream is broken
 */
enum fwd_event_verdict {
	FWD_EVENT_NONE,
	FWD_EVENT_PASS,
	FWD_EVENT_SKIP,
	FWD_EVENT_GAP,
};

/**
 * struct fwd_events - the events of the response to one send.
 * @buf: bytes that are not passed on yet
 * @last_id: the client has the events up to this id; -1 for none
 * @scanned: length of the part of @buf in which no event ends
 */
struct fwd_events {
	GString *buf;
	int64_t last_id;
	size_t scanned;
};

void fwd_events_init(struct fwd_events *, int64_t);
void fwd_events_clear(struct fwd_events *);
bool fwd_events_add(struct fwd_events *, const char *, size_t);
enum fwd_event_verdict fwd_events_next(struct fwd_events *, size_t *);
void fwd_events_drop(struct fwd_events *, size_t);

#endif
