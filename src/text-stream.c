/* Text that is queued until the HTTP server can send it. */
#include <string.h>

#include "text-stream.h"

/**
 * text_stream_take() - move text from the front of a buffer.
 * @pending: the buffer
 * @out: destination
 * @max: size of @out, in bytes
 *
 * Return: number of bytes moved.
 */
ssize_t
text_stream_take(GString *pending, char *out, size_t max)
{
	size_t n = MIN(pending->len, max);

	memcpy(out, pending->str, n);
	g_string_erase(pending, 0, (gssize)n);
	return ((ssize_t)n);
}
