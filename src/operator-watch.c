/*
 * GET /api/v1/watch?from=VERSION: a stream of resources and groups as they
 * change. A watch is level-triggered: it gives everything newer than a
 * version, so it can be resumed from any version at any daemon.
 */
#include <string.h>

#include "error.h"
#include "group.h"
#include "http-reply.h"
#include "operator.h"
#include "resource.h"
#include "text-stream.h"

#define HEARTBEAT_MS 5000
#define STREAM_BLOCK 4096

struct watch {
	struct server *server;
	uint64_t from;
	GHashTable *groups;
	GString *pending;
};

static void
watch_event(struct watch *w, const char *kind, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	g_string_append_printf(w->pending, "event: %s\ndata: %s\n\n", kind,
	    text);
	free(text);
	json_decref(json);
}

static gint
compare_versions(gconstpointer a, gconstpointer b)
{
	const struct resource *x = *(const struct resource *const *)a;
	const struct resource *y = *(const struct resource *const *)b;

	return (x->version < y->version ? -1 : x->version > y->version);
}

/* Queues the resources that are newer than the watch. */
static void
watch_resources(struct watch *w, const struct state *state)
{
	g_autoptr(GPtrArray) newer = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((struct resource *)value)->version >= w->from)
			g_ptr_array_add(newer, value);
	}
	g_ptr_array_sort(newer, compare_versions);
	for (guint i = 0; i < newer->len; i++) {
		const struct resource *res = newer->pdata[i];

		watch_event(w, resource_exists(res) ? "put" : "delete",
		    resource_dump(res));
	}
}

/* Queues groups that formed, and the names of those that ended. */
static void
watch_groups(struct watch *w, const struct state *state)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, w->groups);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (state_group(state, name) != NULL)
			continue;
		watch_event(w, "dissolve", json_pack("{s:s}", "name", name));
		g_hash_table_iter_remove(&iter);
	}
	g_hash_table_iter_init(&iter, state->groups);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct group *group = value;

		if (group->epoch >= w->from)
			watch_event(w, "form", group_dump(group));
		g_hash_table_add(w->groups, g_strdup(name));
	}
}

/* Waits for the configuration to move on, or for the next heartbeat. */
static void
watch_wait(struct watch *w)
{
	struct config *config = &w->server->config;
	gint64 until = g_get_monotonic_time() + HEARTBEAT_MS * 1000;

	g_mutex_lock(&config->lock);
	while (config->state->next == w->from &&
	    !atomic_load(&w->server->refusing)) {
		if (!g_cond_wait_until(&config->advanced, &config->lock, until))
			break;
	}
	if (config->state->next != w->from) {
		watch_resources(w, config->state);
		watch_groups(w, config->state);
		w->from = config->state->next;
	}
	g_mutex_unlock(&config->lock);
	watch_event(w, "version",
	    json_pack("{s:I}", "version", (json_int_t)w->from - 1));
}

static ssize_t
watch_read(void *arg, uint64_t offset, char *out, size_t max)
{
	struct watch *w = arg;

	if (w->pending->len == 0 && atomic_load(&w->server->refusing))
		return (U_STREAM_END);
	if (w->pending->len == 0)
		watch_wait(w);
	return (text_stream_take(w->pending, out, max));
}

static void
watch_free(void *arg)
{
	struct watch *w = arg;

	g_hash_table_unref(w->groups);
	g_string_free(w->pending, TRUE);
	g_free(w);
}

/**
 * operator_watch() - handler of GET /api/v1/watch?from=VERSION.
 * @in: the request; without from, everything is given first
 * @res: the answer
 * @arg: the daemon
 */
int
operator_watch(const struct _u_request *in, struct _u_response *res, void *arg)
{
	const char *text = u_map_get(in->map_url, "from");
	g_autoptr(GError) error = NULL;
	guint64 from = 0;
	struct watch *w;

	if (!operator_authorize(arg, in, res))
		return (U_CALLBACK_COMPLETE);
	if (text != NULL &&
	    !g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT64, &from, NULL)) {
		error_set(&error, ERROR_BAD_FIELD, "from: must be a version");
		http_reply_error(res, error);
		return (U_CALLBACK_COMPLETE);
	}
	w = g_new0(struct watch, 1);
	w->server = arg;
	w->from = from + 1;
	w->groups =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->pending = g_string_new(NULL);
	u_map_put(res->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(res, 200, watch_read, watch_free,
	    U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK, w);
	return (U_CALLBACK_COMPLETE);
}
