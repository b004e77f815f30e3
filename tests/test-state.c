/* Scripts over the replay of the configuration log. */
#include <inttypes.h>

#include "group.h"
#include "resource.h"
#include "script.h"
#include "state.h"

static struct state *state;

static void
reset(void)
{
	if (state != NULL)
		state_free(state);
	state = state_create();
}

/* apply JSON: replays a record at the next offset. */
static void
exec_apply(const char *rest, GString *out)
{
	json_auto_t *record = json_loads(rest, 0, NULL);
	g_autoptr(GError) error = NULL;
	uint64_t offset = state->next;
	enum verdict verdict;

	verdict = state_apply(state, offset, record, &error);
	g_string_append_printf(out, "%" PRIu64 " %s%s%s\n", offset,
	    verdict_name(verdict), error != NULL ? ": " : "",
	    error != NULL ? error->message : "");
}

/* show TYPE NAME: the version and spec of a resource. */
static void
exec_show(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", 2);
	struct resource *res = state_resource(state, words[0], words[1]);
	g_autofree char *spec = NULL;

	if (!resource_exists(res)) {
		g_string_append(out, "none\n");
		return;
	}
	spec = json_dumps(res->spec, JSON_COMPACT | JSON_SORT_KEYS);
	g_string_append_printf(out, "version %" PRIu64 " %s\n", res->version,
	    spec);
}

/* host NAME: the group that a host is in. */
static void
exec_host(const char *rest, GString *out)
{
	struct group *group = state_host_group(state, rest);

	if (group == NULL)
		g_string_append(out, "free\n");
	else
		g_string_append_printf(out, "%s epoch %" PRIu64 "\n",
		    group->name, group->epoch);
}

/* reload: dumps and loads the state; says whether its digest is the same. */
static void
exec_reload(const char *rest, GString *out)
{
	json_auto_t *dump = state_dump(state);
	struct state *loaded = state_load(dump, NULL);

	if (loaded == NULL) {
		g_string_append(out, "not loaded\n");
		return;
	}
	g_string_append(out,
	    state_digest(loaded) == state_digest(state) ? "same\n" :
							  "different\n");
	state_free(state);
	state = loaded;
}

static const struct script_command commands[] = {
	{ "apply", exec_apply },
	{ "show", exec_show },
	{ "host", exec_host },
	{ "reload", exec_reload },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("state", commands, reset);

	if (state != NULL)
		state_free(state);
	return (rc);
}
