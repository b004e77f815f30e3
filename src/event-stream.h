/* Parser of server-sent events (text/event-stream). */
#ifndef BL_EVENT_STREAM_H
#define BL_EVENT_STREAM_H

#include <glib.h>

char *event_stream_take(GByteArray *);

#endif
