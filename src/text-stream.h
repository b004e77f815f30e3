/* Text that is queued until the HTTP server can send it. */
#ifndef BL_TEXT_STREAM_H
#define BL_TEXT_STREAM_H

#include <glib.h>
#include <sys/types.h>

ssize_t text_stream_take(GString *, char *, size_t);

#endif
