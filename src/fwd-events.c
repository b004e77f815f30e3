/* Splits a stream of server-sent events into events. Pure. */
#include <stdlib.h>
#include <string.h>

#include "fwd-events.h"

/**
 * fwd_events_init() - begin a response.
 * @ev: the events
 * @last: the client has the events up to this id; -1 for none
 */
void
fwd_events_init(struct fwd_events *ev, int64_t last)
{
	ev->buf = g_string_new(NULL);
	ev->last_id = last;
	ev->scanned = 0;
}

/**
 * fwd_events_clear() - free the buffer.
 * @ev: the events
 */
void
fwd_events_clear(struct fwd_events *ev)
{
	if (ev->buf != NULL)
		g_string_free(ev->buf, TRUE);
	ev->buf = NULL;
}

/**
 * fwd_events_add() - add bytes of the stream.
 * @ev: the events
 * @at: the bytes
 * @length: number of bytes
 *
 * Return: false if more than FWD_EVENT_MAX_BYTES are buffered.
 */
bool
fwd_events_add(struct fwd_events *ev, const char *at, size_t length)
{
	g_string_append_len(ev->buf, at, (gssize)length);
	return (ev->buf->len <= FWD_EVENT_MAX_BYTES);
}

/* Length of the first event, or 0 if it is not complete. */
static size_t
event_length(struct fwd_events *ev)
{
	const char *text = ev->buf->str;
	size_t i = ev->scanned;

	for (; i + 1 < ev->buf->len; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i + 1] == '\n')
			return (i + 2);
		if (text[i + 1] == '\r' && i + 2 < ev->buf->len &&
		    text[i + 2] == '\n')
			return (i + 3);
	}
	ev->scanned = ev->buf->len > 2 ? ev->buf->len - 2 : 0;
	return (0);
}

/* The id of an event, or -1 if it has none. */
static int64_t
event_id(const char *text, size_t length)
{
	size_t i = 0;

	while (i + 3 < length) {
		const char *end = memchr(text + i, '\n', length - i);

		if (strncmp(text + i, "id:", 3) == 0)
			return (strtoll(text + i + 3, NULL, 10));
		if (end == NULL)
			break;
		i = (size_t)(end - text) + 1;
	}
	return (-1);
}

/**
 * fwd_events_next() - decide on the first event in the buffer.
 * @ev: the events
 * @length: set to the length of the event, which stands at the start of the
 *	buffer; 0 if it is not complete
 */
enum fwd_event_verdict
fwd_events_next(struct fwd_events *ev, size_t *length)
{
	int64_t id;

	*length = event_length(ev);
	if (*length == 0)
		return (FWD_EVENT_NONE);
	id = event_id(ev->buf->str, *length);
	if (id < 0)
		return (FWD_EVENT_PASS);
	if (ev->last_id >= 0 && id <= ev->last_id)
		return (FWD_EVENT_SKIP);
	if (ev->last_id >= 0 && id != ev->last_id + 1)
		return (FWD_EVENT_GAP);
	ev->last_id = id;
	return (FWD_EVENT_PASS);
}

/**
 * fwd_events_drop() - remove the first event from the buffer.
 * @ev: the events
 * @length: length of the event
 */
void
fwd_events_drop(struct fwd_events *ev, size_t length)
{
	g_string_erase(ev->buf, 0, (gssize)length);
	ev->scanned = 0;
}
