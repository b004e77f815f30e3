/* Scripts over the ends of calls: what follows, and what is known. */
#include "call-end.h"
#include "script.h"

static void
reset(void)
{
}

static bool
flag(const char *line, const char *name)
{
	return (script_number(line, name, 0) != 0);
}

/* end phase=P [status=N] [flag=1...]: action, outcome and error */
static void
exec_end(const char *rest, GString *out)
{
	static const char *const actions[] = { "pass", "retry", "resume",
		"fail" };
	struct call_end end = { 0 };
	struct call_verdict v;

	end.phase = (enum call_phase)script_number(rest, "phase", 0);
	end.status = (int)script_number(rest, "status", 0);
	end.not_started = flag(rest, "not_started");
	end.malformed = flag(rest, "garbage");
	end.expired = flag(rest, "deadline");
	end.idempotent = flag(rest, "idempotent");
	end.delivered = flag(rest, "given");
	end.resumable = flag(rest, "resumable");
	v = call_end_decide(&end);
	g_string_append_printf(out, "%s %s %s\n", actions[v.action],
	    outcome_name(v.outcome), error_name(v.error));
}

static const struct script_command commands[] = {
	{ "end", exec_end },
	{ NULL, NULL },
};

int
main(void)
{
	return (script_main("calls", commands, reset));
}
