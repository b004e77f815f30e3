/* Scripts over the order of a stream's chunks. */
#include <string.h>

#include "chunk-order.h"
#include "event-stream.h"
#include "script.h"

static struct chunk_order order;
static GByteArray *buffer;

static void
reset(void)
{
	chunk_order_clear(&order);
	chunk_order_init(&order);
	if (buffer != NULL)
		g_byte_array_unref(buffer);
	buffer = g_byte_array_new();
}

static void
print_ready(GString *out)
{
	char *text;

	while ((text = chunk_order_take(&order)) != NULL) {
		g_string_append_printf(out, "%s\n", text);
		g_free(text);
	}
	if (chunk_order_complete(&order))
		g_string_append(out, "whole\n");
}

/* add INDEX TEXT: a chunk comes */
static void
exec_add(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);

	if (!chunk_order_add(&order, g_ascii_strtoll(w[0], NULL, 10), w[1]))
		g_string_append(out, "broken\n");
	print_ready(out);
}

/* end COUNT: the end mark comes */
static void
exec_end(const char *rest, GString *out)
{
	if (!chunk_order_set_end(&order, g_ascii_strtoll(rest, NULL, 10)))
		g_string_append(out, "broken\n");
	print_ready(out);
}

/* bytes TEXT: bytes come, with \n for a new line; prints whole events */
static void
exec_bytes(const char *rest, GString *out)
{
	g_autofree char *text = g_strcompress(rest);
	char *data;

	g_byte_array_append(buffer, (const guint8 *)text, (guint)strlen(text));
	while ((data = event_stream_take(buffer)) != NULL) {
		g_string_append_printf(out, "[%s]\n", data);
		g_free(data);
	}
}

static const struct script_command commands[] = {
	{ "add", exec_add },
	{ "end", exec_end },
	{ "bytes", exec_bytes },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("chunks", commands, reset);

	chunk_order_clear(&order);
	if (buffer != NULL)
		g_byte_array_unref(buffer);
	return (rc);
}
