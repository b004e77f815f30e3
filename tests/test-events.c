/* Scripts for streams of events: which are passed on, and which are not. */
#include "fwd-events.h"
#include "script.h"

static struct fwd_events events;

static void
reset(void)
{
	fwd_events_clear(&events);
	fwd_events_init(&events, -1);
}

/* begin ID: the client has the events up to ID; -1 for none */
static void
exec_begin(const char *rest, GString *out)
{
	fwd_events_clear(&events);
	fwd_events_init(&events, g_ascii_strtoll(rest, NULL, 10));
}

/* Prints the verdicts on the complete events in the buffer. */
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
	g_string_append_printf(out, "buffered %zu\n", events.buf->len);
}

/* bytes TEXT: adds bytes of the stream, with C escapes */
static void
exec_bytes(const char *rest, GString *out)
{
	g_autofree char *text = g_strcompress(rest);

	if (!fwd_events_add(&events, text, strlen(text)))
		g_string_append(out, "too large\n");
	print_events(out);
}

/* restart: another endpoint continues the stream */
static void
exec_restart(const char *rest, GString *out)
{
	int64_t last_id = events.last_id;

	fwd_events_clear(&events);
	fwd_events_init(&events, last_id);
}

/* flood BYTES: adds that many bytes in which no event ends */
static void
exec_flood(const char *rest, GString *out)
{
	gsize n = (gsize)g_ascii_strtoull(rest, NULL, 10);
	g_autofree char *text = g_strnfill(n, 'x');

	g_string_append(out,
	    fwd_events_add(&events, text, n) ? "buffered\n" : "too large\n");
}

static const struct script_command commands[] = {
	{ "begin", exec_begin },
	{ "bytes", exec_bytes },
	{ "restart", exec_restart },
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
