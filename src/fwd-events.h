/* Cuts a stream of server-sent events into whole events. Pure. */
#ifndef BL_FWD_EVENTS_H
#define BL_FWD_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Largest event; an endpoint that sends more is broken. */
#define FWD_EVENT_MAX_BYTES (1u << 20)

/**
 * enum fwd_event_verdict - what to do with the next event.
 * @FWD_EVENT_NONE: none is whole yet
 * @FWD_EVENT_PASS: it follows the last one; give it on
 * @FWD_EVENT_SKIP: the client has it already
 * @FWD_EVENT_GAP: one is missing before it; the stream is broken
 */
enum fwd_event_verdict {
	FWD_EVENT_NONE,
	FWD_EVENT_PASS,
	FWD_EVENT_SKIP,
	FWD_EVENT_GAP,
};

/**
 * struct fwd_events - the events of one answer, over all of its endpoints.
 * @buf: bytes of the event that is not whole yet
 * @last_id: id of the last event given on; -1 before the first
 * @scanned: bytes of @buf that hold no end of an event
 */
struct fwd_events {
	GString *buf;
	int64_t last_id;
	size_t scanned;
};

void fwd_events_init(struct fwd_events *, int64_t);
void fwd_events_clear(struct fwd_events *);
void fwd_events_restart(struct fwd_events *);
bool fwd_events_add(struct fwd_events *, const char *, size_t);
enum fwd_event_verdict fwd_events_next(struct fwd_events *, size_t *);
void fwd_events_drop(struct fwd_events *, size_t);

#endif
