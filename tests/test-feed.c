/* Scripted tests of what distributes entries: known ranges, clocks, saved
 * datagrams. */
#include <string.h>
#include <syslog.h>

#include "event-log.h"
#include "feed-clock.h"
#include "feed-log.h"
#include "offset-ranges.h"
#include "script.h"

static struct offset_ranges ranges;
static struct feed_clocks clocks;
static struct feed_log feed_log;
static uint64_t next;

static void
reset(void)
{
	memset(&ranges, 0, sizeof ranges);
	memset(&clocks, 0, sizeof clocks);
	feed_log_clear(&feed_log);
	next = 0;
}

/* known FROM END [as-of=MS]: a range is known */
static void
exec_known(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", 3);
	const struct offset_range range = {
		.from = g_ascii_strtoull(words[0], NULL, 10),
		.end = g_ascii_strtoull(words[1], NULL, 10),
		.as_of_ms = script_number(rest, "as-of", 0),
	};

	if (!offset_ranges_add(&ranges, &range))
		g_string_append(out, "too many\n");
}

/* many N: as many ranges of one offset, with a gap before each */
static void
exec_many(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);
	unsigned added = 0;

	for (guint64 i = 0; i < n; i++) {
		const struct offset_range range = { .from = 2 * i + 1,
			.end = 2 * i + 2 };

		added += offset_ranges_add(&ranges, &range);
	}
	g_string_append_printf(out, "%u added\n", added);
}

/* next N: all offsets before this one are known; prints what they reach, and as
 * of when */
static void
exec_next(const char *rest, GString *out)
{
	uint64_t as_of_ms;

	next = g_ascii_strtoull(rest, NULL, 10);
	as_of_ms = offset_ranges_absorb(&ranges, &next);
	g_string_append_printf(out, "%u as of %u\n", (unsigned)next,
	    (unsigned)as_of_ms);
}

/* gaps END: the gaps before an offset */
static void
exec_gaps(const char *rest, GString *out)
{
	struct offset_range gap;

	for (unsigned i = 0; offset_ranges_gap(&ranges, i, next,
		 g_ascii_strtoull(rest, NULL, 10), &gap);
	     i++)
		g_string_append_printf(out, "%u to %u\n", (unsigned)gap.from,
		    (unsigned)gap.end);
}

/* arrives RUN sent=MS now=MS: a datagram arrives; prints when it was sent by
 * the clock here */
static void
exec_arrives(const char *rest, GString *out)
{
	g_string_append_printf(out, "%u\n",
	    (unsigned)feed_clocks_date(&clocks,
		g_ascii_strtoull(rest, NULL, 10),
		script_number(rest, "sent", 0), script_number(rest, "now", 0)));
}

/* save FROM END [run=N sent=MS] now=MS [bytes=N]: a datagram is to be saved */
static void
exec_save(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", 3);
	struct mesh_entries entries = {
		.from = g_ascii_strtoull(words[0], NULL, 10),
		.end = g_ascii_strtoull(words[1], NULL, 10),
	};
	static char bytes[500000];
	size_t length = MIN(script_number(rest, "bytes", 1), sizeof bytes);

	entries.stamp.incarnation = script_number(rest, "run", 0);
	entries.stamp.sent_ms = script_number(rest, "sent", 0);
	g_string_append(out,
	    feed_log_add(&feed_log, &entries, bytes, length,
		script_number(rest, "now", 0)) ?
		"new\n" :
		"known\n");
}

/* saved: number of saved datagrams, and their bytes */
static void
exec_saved(const char *rest, GString *out)
{
	g_string_append_printf(out, "%u, %zu bytes\n", feed_log.n,
	    feed_log.bytes);
}

static const struct script_command commands[] = {
	{ "known", exec_known },
	{ "many", exec_many },
	{ "next", exec_next },
	{ "gaps", exec_gaps },
	{ "arrives", exec_arrives },
	{ "save", exec_save },
	{ "saved", exec_saved },
	{ NULL, NULL },
};

int
main(void)
{
	int rc;

	event_log_open("test-feed", LOG_ERR);
	feed_log_init(&feed_log);
	rc = script_main("feed", commands, reset);
	feed_log_clear(&feed_log);
	return (rc);
}
