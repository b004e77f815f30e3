/* Scripts over streams of events: what is given on, and what is not. */
#include "fwd-events.h"
#include "script.h"

static struct fwd_events events;

static void
reset(void)
{
	fwd_events_clear(&events);
	fwd_events_init(&events, -1);
}

/* begin LAST: the client has the events up to LAST; -1 for none */
static void
exec_begin(const char *rest, GString *out)
{
	fwd_events_clear(&events);
	fwd_events_init(&events, g_ascii_strtoll(rest, NULL, 10));
}

/* Prints what the whole events among the held bytes come to. */
static void
print_events(GString *out)
{
	static const char *const names[] = { "none", "pass", "skip", "gap" };
	enum fwd_event_verdict verdict;
	size_t length;

	while (
	    (verdict = fwd_events_next(&events, &length)) != FWD_EVENT_NONE) {
		g_autofree char *text = g_strndup(events.buf->str, length);
		g_autofree char *shown = g_strescape(text, NULL);

		g_string_append_printf(out, "%s %s\n", names[verdict], shown);
		if (verdict == FWD_EVENT_GAP)
			return;
		fwd_events_drop(&events, length);
	}
	g_string_append_printf(out, "held %zu\n", events.buf->len);
}

/* bytes TEXT: bytes of the stream, with C escapes */
static void
exec_bytes(const char *rest, GString *out)
{
	g_autofree char *text = g_strcompress(rest);

	if (!fwd_events_add(&events, text, strlen(text)))
		g_string_append(out, "too large\n");
	print_events(out);
}

/* another: another endpoint goes on with the stream */
static void
exec_another(const char *rest, GString *out)
{
	fwd_events_restart(&events);
}

/* flood BYTES: that many bytes without an end of an event */
static void
exec_flood(const char *rest, GString *out)
{
	gsize n = (gsize)g_ascii_strtoull(rest, NULL, 10);
	g_autofree char *text = g_strnfill(n, 'x');

	g_string_append(out,
	    fwd_events_add(&events, text, n) ? "held\n" : "too large\n");
}

static const struct script_command commands[] = {
	{ "begin", exec_begin },
	{ "bytes", exec_bytes },
	{ "another", exec_another },
	{ "flood", exec_flood },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("events", commands, reset);

	fwd_events_clear(&events);
	return (rc);
}
