/* Scripts that take, renew and lose a lease, in virtual time. */
#include <string.h>

#include "lease-elector.h"
#include "lease.h"
#include "script.h"

static struct lease_elector elector;
static const struct lease_times times = { 2000, 6000, 10000 };
static struct lease *lease;

static void
reset(void)
{
	lease_elector_init(&elector, 0);
	g_clear_pointer(&lease, lease_free);
}

/* log holder=H term=T renewed=R: the newest lease by replay. */
static void
exec_log(const char *rest, GString *out)
{
	g_autofree char *holder = script_word(rest, "holder");

	g_clear_pointer(&lease, lease_free);
	lease = lease_create("a", holder, script_number(rest, "term", 0),
	    script_number(rest, "renewed", 0));
}

/* step now=MS [delay=MS]: prints what daemon "me" does. */
static void
exec_step(const char *rest, GString *out)
{
	static const char *const names[] = { "wait", "take", "renew" };
	guint64 now = script_number(rest, "now", 0);
	enum lease_step step;

	step = lease_elector_step(&elector, &times, lease, "me",
	    script_number(rest, "delay", 0), now);
	g_string_append_printf(out, "%s%s\n", names[step],
	    lease_elector_holds(&elector, now) ? ", holds" : "");
}

/* sent at=MS offset=N: a record was sent; offset 0: the answer was lost */
static void
exec_sent(const char *rest, GString *out)
{
	lease_elector_note_sent(&elector, script_number(rest, "at", 0),
	    script_number(rest, "offset", 0));
}

static const struct script_command commands[] = {
	{ "log", exec_log },
	{ "step", exec_step },
	{ "sent", exec_sent },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("lease", commands, reset);

	reset();
	return (rc);
}
