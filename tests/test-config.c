/* Scripts on replay of the log: read-back, snapshots, adoption of states. */
#include <inttypes.h>
#include <string.h>

#include "config-snapshot.h"
#include "config.h"
#include "error.h"
#include "fake-log.h"
#include "resource.h"
#include "script.h"

#define CONFIGS 2

static struct fake_log flog;
static struct config configs[CONFIGS];
static json_t *saved;
static gboolean initialized;
static gint following;

static void
destroy_configs(void)
{
	for (int i = 0; initialized && i < CONFIGS; i++)
		config_destroy(&configs[i]);
	if (initialized)
		fake_log_clear(&flog);
	g_clear_pointer(&saved, json_decref);
	initialized = FALSE;
}

static void
reset(void)
{
	destroy_configs();
	fake_log_init(&flog);
	for (int i = 0; i < CONFIGS; i++)
		config_init(&configs[i], &flog.client, NULL, NULL);
	initialized = TRUE;
}

/* Returns the configuration that the first word names: a or b. */
static struct config *
config_of(const char *rest)
{
	return (&configs[rest[0] == 'b']);
}

/* reset: starts with an empty log and empty states */
static void
exec_reset(const char *rest, GString *out)
{
	reset();
}

/* log JSON: appends a record, as written by another program */
static void
exec_log(const char *rest, GString *out)
{
	json_auto_t *record = json_loads(rest, 0, NULL);

	fake_log_add(&flog, record);
}

/* fault down=0|1 lose=N refuse=N first=N: faults of the log; see fake-log.h */
static void
exec_fault(const char *rest, GString *out)
{
	flog.down = script_number(rest, "down", flog.down) != 0;
	flog.lose_responses =
	    (unsigned)script_number(rest, "lose", flog.lose_responses);
	flog.fail_appends =
	    (unsigned)script_number(rest, "refuse", flog.fail_appends);
	flog.first = script_number(rest, "first", flog.first);
}

/* follow a|b: reads once from the log; prints the next offset */
static void
exec_follow(const char *rest, GString *out)
{
	config_follow(config_of(rest), 0);
	g_string_append_printf(out, "next %" PRIu64 "\n",
	    config_next(config_of(rest)));
}

/* show a|b NAME: prints the policy of a placement */
static void
exec_show(const char *rest, GString *out)
{
	struct resource *res;

	res = state_resource(config_of(rest)->state, "placement", rest + 2);
	g_string_append_printf(out, "%s\n",
	    resource_string(res, "policy", "none"));
}

/*
 * Follows the log once the change has been appended. If it started earlier, a
 * conflicting record that is in the log already would at times be found before
 * the append instead of by the replay after it.
 */
static gpointer
follow_thread(gpointer arg)
{
	while (g_atomic_int_get(&following)) {
		if (g_atomic_int_get(&flog.append_calls) != 0)
			config_follow(arg, 0);
		g_usleep(1000);
	}
	return (NULL);
}

/* change a|b NAME POLICY BASE: makes an operator's change and reads it back */
static void
exec_change(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 4);
	json_auto_t *spec = json_pack("{s:s}", "policy", w[2]);
	struct config *config = config_of(rest);
	g_autoptr(GError) error = NULL;
	uint64_t version = 0;
	GThread *thread;
	bool ok;

	g_atomic_int_set(&flog.append_calls, 0);
	g_atomic_int_set(&following, 1);
	thread = g_thread_new("follow", follow_thread, config);
	ok = config_change(config, "put", "placement", w[1],
	    g_ascii_strtoll(w[3], NULL, 10), spec, &version, &error);
	g_atomic_int_set(&following, 0);
	g_thread_join(thread);
	if (ok)
		g_string_append_printf(out, "version %" PRIu64 "\n", version);
	else
		g_string_append_printf(out, "%s\n", error_name(error->code));
}

/* save a|b: saves its state */
static void
exec_save(const char *rest, GString *out)
{
	json_decref(saved);
	saved = state_dump(config_of(rest)->state);
}

/* adopt a|b: lets it adopt the saved state; prints whether it did */
static void
exec_adopt(const char *rest, GString *out)
{
	g_string_append(out,
	    config_adopt_state(config_of(rest), saved) ? "adopted\n" :
							 "not adopted\n");
}

/* snapshot a|b: writes a snapshot of its state to the log */
static void
exec_snapshot(const char *rest, GString *out)
{
	if (!config_snapshot_write(config_of(rest), NULL))
		g_string_append(out, "failed\n");
}

/* same: prints whether the two states are equal */
static void
exec_same(const char *rest, GString *out)
{
	g_string_append(out,
	    state_digest(configs[0].state) == state_digest(configs[1].state) ?
		"same\n" :
		"different\n");
}

static const struct script_command commands[] = {
	{ "reset", exec_reset },
	{ "log", exec_log },
	{ "fault", exec_fault },
	{ "follow", exec_follow },
	{ "show", exec_show },
	{ "change", exec_change },
	{ "save", exec_save },
	{ "adopt", exec_adopt },
	{ "snapshot", exec_snapshot },
	{ "same", exec_same },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("config", commands, reset);

	destroy_configs();
	return (rc);
}
