/* Scripted tests of what counts as an outage of the store. */
#include <string.h>

#include "registry-outage.h"
#include "script.h"

static struct store_outage outage;

static void
reset(void)
{
	memset(&outage, 0, sizeof outage);
}

/* failed MS: a call of this daemon failed */
static void
exec_failed(const char *rest, GString *out)
{
	outage_note_failed(&outage, g_ascii_strtoull(rest, NULL, 10));
}

/* heard MS: another daemon was heard */
static void
exec_heard(const char *rest, GString *out)
{
	outage_note_heard(&outage, g_ascii_strtoull(rest, NULL, 10));
}

/* answered MS [at=MS]: the store answered a call that was sent at that time */
static void
exec_answered(const char *rest, GString *out)
{
	uint64_t as_of = g_ascii_strtoull(rest, NULL, 10);

	if (outage_note_answered(&outage, as_of,
		script_number(rest, "at", as_of)))
		g_string_append(out, "outage\n");
}

/* told MS: another daemon reports the end of an outage at that time */
static void
exec_told(const char *rest, GString *out)
{
	g_string_append(out,
	    outage_note_told(&outage, g_ascii_strtoull(rest, NULL, 10)) ?
		"believed\n" :
		"not believed\n");
}

/* removed MS [copy=MS]: whether an entry whose removal was read then, and that
 * was there before, may be written again
 */
static void
exec_removed(const char *rest, GString *out)
{
	uint64_t as_of = g_ascii_strtoull(rest, NULL, 10);
	uint64_t copy = script_number(rest, "copy", as_of);

	g_string_append(out,
	    outage_caused(&outage, copy, as_of) ? "may return\n" : "gone\n");
}

/* at MS: the state at that time */
static void
exec_at(const char *rest, GString *out)
{
	uint64_t now = g_ascii_strtoull(rest, NULL, 10);

	g_string_append(out,
	    outage_active(&outage, now)		? "away\n" :
		outage_recovering(&outage, now) ? "recovering\n" :
						  "works\n");
}

static const struct script_command commands[] = {
	{ "failed", exec_failed },
	{ "heard", exec_heard },
	{ "answered", exec_answered },
	{ "told", exec_told },
	{ "removed", exec_removed },
	{ "at", exec_at },
	{ NULL, NULL },
};

int
main(void)
{
	return (script_main("outage", commands, reset));
}
