/* Scripted tests of the evacuation of failure domains, as read from the store
 * and as told by other daemons. */
#include <string.h>
#include <syslog.h>

#include "event-log.h"
#include "platform.h"
#include "registry.h"
#include "script.h"

static uv_loop_t loop;
static struct registry registry;
static struct store store;

static const struct registry_decoders decoders = {
	.evacuated_domain = platform_config_evacuated_domain,
};

/* Closes the registry's timers, so that the next script gets new ones. */
static void
close_registry(void)
{
	if (registry.loop == NULL)
		return;
	registry_stop(&registry);
	uv_close((uv_handle_t *)&registry.config.timer, NULL);
	uv_close((uv_handle_t *)&registry.endpoints.timer, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	g_clear_pointer(&registry.config.snapshot_keys, g_hash_table_destroy);
	g_clear_pointer(&registry.endpoints.snapshot_keys,
	    g_hash_table_destroy);
	g_hash_table_destroy(registry.refusal_reasons);
	g_array_free(registry.relay, TRUE);
	poison_release(&registry.poison);
	fleet_clear(&registry.fleet);
}

static void
reset(void)
{
	close_registry();
	registry_init(&registry, &loop, &store, &decoders);
}

/* endpoint ID domain=D: an endpoint is read */
static void
exec_endpoint(const char *rest, GString *out)
{
	struct endpoint_report report = { 0 };
	struct endpoint *ep;

	report.id = g_strndup(rest, strcspn(rest, " "));
	report.service = g_strdup("s");
	report.domain = script_word(rest, "domain");
	report.staged = g_ptr_array_new_with_free_func(g_free);
	ep = fleet_update(&registry.fleet, &report, 1, 1);
	ep->evacuated =
	    evacuations_has(&registry.evacuations, ep->report.domain);
}

/* snapshot end=N [keys=KEY,...]: all records of the operator were read */
static void
exec_snapshot(const char *rest, GString *out)
{
	g_autofree char *list = script_word(rest, "keys");
	g_auto(GStrv) keys = g_strsplit(list != NULL ? list : "", ",", -1);
	struct topic_follower *f = &registry.config;

	if (f->snapshot_keys == NULL)
		f->snapshot_keys = g_hash_table_new_full(g_str_hash,
		    g_str_equal, g_free, NULL);
	for (char **key = keys; *key != NULL && **key != '\0'; key++)
		g_hash_table_add(f->snapshot_keys, g_strdup(*key));
	f->snapshot_end = script_number(rest, "end", 0);
	f->ops->snapshot_done(f->owner, f->snapshot_keys);
	g_clear_pointer(&f->snapshot_keys, g_hash_table_destroy);
}

/* record KEY offset=N [removed=1]: a record of the operator is read */
static void
exec_record(const char *rest, GString *out)
{
	g_autofree char *key = g_strndup(rest, strcspn(rest, " "));
	guint8 value[] = "{}";
	struct store_record record = { .key = key,
		.offset = script_number(rest, "offset", 0) };

	if (script_number(rest, "removed", 0) == 0) {
		record.value = value;
		record.length = strlen((const char *)value);
	}
	registry.config.ops->record(registry.config.owner, &record);
}

/* told as_of=N [domains=D,...]: another daemon tells what it knows */
static void
exec_told(const char *rest, GString *out)
{
	g_autofree char *list = script_word(rest, "domains");
	g_auto(GStrv) domains = g_strsplit(list != NULL ? list : "", ",", -1);
	struct evacuations told = { .as_of = script_number(rest, "as_of", 0) };

	for (char **d = domains; *d != NULL && **d != '\0'; d++)
		evacuations_add(&told, *d);
	g_string_append_printf(out, "%s\n",
	    registry_apply_evacuations(&registry, &told) ? "news" : "known");
}

/* many N: a set with N failure domains is filled */
static void
exec_many(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);
	struct evacuations e = { 0 };
	enum evacuation_result result = EVACUATION_ADDED;

	for (guint64 i = 0; i < n; i++) {
		g_autofree char *domain = g_strdup_printf("d%u", (unsigned)i);

		result = evacuations_add(&e, domain);
	}
	g_string_append_printf(out, "%u, the last: %s\n", e.n,
	    evacuation_result_name(result));
}

/* show: the evacuated failure domains, and which endpoints may be used */
static void
exec_show(const char *rest, GString *out)
{
	const struct evacuations *e = &registry.evacuations;
	const struct endpoint *ep;

	g_string_append_printf(out, "as of %u:", (unsigned)e->as_of);
	for (uint32_t i = 0; i < e->n; i++)
		g_string_append_printf(out, " %s", e->domains[i]);
	g_string_append(out, "; usable:");
	TAILQ_FOREACH(ep, &registry.fleet.endpoints, entry) {
		if (endpoint_usable(ep, 1))
			g_string_append_printf(out, " %s", ep->report.id);
	}
	g_string_append_c(out, '\n');
}

static const struct script_command commands[] = {
	{ "endpoint", exec_endpoint },
	{ "snapshot", exec_snapshot },
	{ "record", exec_record },
	{ "told", exec_told },
	{ "many", exec_many },
	{ "show", exec_show },
	{ NULL, NULL },
};

int
main(void)
{
	int rc;

	event_log_open("test-evacuation", LOG_ERR);
	uv_loop_init(&loop);
	rc = script_main("evacuation", commands, reset);
	close_registry();
	uv_loop_close(&loop);
	return (rc);
}
