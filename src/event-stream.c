/* Parser of server-sent events (text/event-stream). */
#include <string.h>

#include "event-stream.h"

#define DATA_PREFIX "data:"
#define EVENT_END "\n\n"

/**
 * event_stream_take() - remove the first complete event from a buffer.
 * @buffer: received bytes
 *
 * Return: the text after "data:", to be freed with g_free(); "" for an event
 * without data; NULL if the buffer has no complete event.
 */
char *
event_stream_take(GByteArray *buffer)
{
	g_autofree char *event = NULL;
	const char *end, *data;
	size_t len;

	if (buffer->len == 0)
		return (NULL);
	end = memmem(buffer->data, buffer->len, EVENT_END, strlen(EVENT_END));
	if (end == NULL)
		return (NULL);
	len = (size_t)(end - (const char *)buffer->data);
	event = g_strndup((const char *)buffer->data, len);
	g_byte_array_remove_range(buffer, 0, (guint)(len + strlen(EVENT_END)));
	data = strstr(event, DATA_PREFIX);
	if (data == NULL)
		return (g_strdup(""));
	return (g_strdup(data + strlen(DATA_PREFIX)));
}
