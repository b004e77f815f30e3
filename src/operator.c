/* The interface for operators: resources. */
#include <string.h>

#include "error.h"
#include "event-log.h"
#include "group.h"
#include "http-reply.h"
#include "operator.h"
#include "resource.h"

#define BEARER "Bearer "

/* Compares without regard to where the texts differ. */
static bool
equal_constant_time(const char *a, const char *b)
{
	g_autofree char *x = NULL, *y = NULL;
	unsigned differ = 0;

	x = g_compute_checksum_for_string(G_CHECKSUM_SHA256, a, -1);
	y = g_compute_checksum_for_string(G_CHECKSUM_SHA256, b, -1);
	for (size_t i = 0; x[i] != '\0'; i++)
		differ |= (unsigned)(x[i] ^ y[i]);
	return (differ == 0);
}

/**
 * operator_authorize() - check the operator's token.
 * @server: this daemon
 * @in: the request
 * @res: answered when the token is wrong
 */
bool
operator_authorize(struct server *server, const struct _u_request *in,
    struct _u_response *res)
{
	const char *auth = u_map_get_case(in->map_header, "Authorization");
	g_autoptr(GError) error = NULL;

	if (auth != NULL && g_str_has_prefix(auth, BEARER) &&
	    equal_constant_time(auth + strlen(BEARER),
		server->set.operator_token))
		return (true);
	error_set(&error, ERROR_UNAUTHORIZED, "operators need a token");
	http_reply_error(res, error);
	return (false);
}

static json_t *
list_groups(const struct state *state)
{
	g_autoptr(GPtrArray) keys = state_sorted_keys(state->groups);
	json_t *items = json_array();

	for (guint i = 0; i < keys->len; i++)
		json_array_append_new(items,
		    group_dump(state_group(state, keys->pdata[i])));
	return (items);
}

static json_t *
list_resources(const struct state *state, const char *type)
{
	g_autoptr(GPtrArray) keys = state_sorted_keys(state->resources);
	json_t *items = json_array();

	for (guint i = 0; i < keys->len; i++) {
		struct resource *res =
		    g_hash_table_lookup(state->resources, keys->pdata[i]);

		if (resource_exists(res) && strcmp(res->type, type) == 0)
			json_array_append_new(items, resource_dump(res));
	}
	return (items);
}

/**
 * operator_list() - handler of GET /api/v1/TYPE.
 * @in: the request
 * @res: the answer
 * @arg: the daemon
 */
int
operator_list(const struct _u_request *in, struct _u_response *res, void *arg)
{
	const char *type = u_map_get(in->map_url, "type");
	struct server *server = arg;
	struct state *state;
	json_t *items;
	uint64_t next;

	if (!operator_authorize(server, in, res))
		return (U_CALLBACK_COMPLETE);
	g_mutex_lock(&server->config.lock);
	state = server->config.state;
	next = state->next;
	items = strcmp(type, "group") == 0 ? list_groups(state) :
					     list_resources(state, type);
	g_mutex_unlock(&server->config.lock);
	http_reply_json(res, 200,
	    json_pack("{s:I, s:o}", "version", (json_int_t)next - 1, "items",
		items));
	return (U_CALLBACK_COMPLETE);
}

/**
 * operator_get() - handler of GET /api/v1/TYPE/NAME.
 * @in: the request
 * @res: the answer
 * @arg: the daemon
 */
int
operator_get(const struct _u_request *in, struct _u_response *res, void *arg)
{
	g_autoptr(GError) error = NULL;
	struct server *server = arg;
	struct resource *resource;
	json_t *json = NULL;

	if (!operator_authorize(server, in, res))
		return (U_CALLBACK_COMPLETE);
	g_mutex_lock(&server->config.lock);
	resource = state_resource(server->config.state,
	    u_map_get(in->map_url, "type"), u_map_get(in->map_url, "name"));
	if (resource_exists(resource))
		json = resource_dump(resource);
	g_mutex_unlock(&server->config.lock);
	if (json != NULL) {
		http_reply_json(res, 200, json);
		return (U_CALLBACK_COMPLETE);
	}
	error_set(&error, ERROR_NOT_FOUND, "no such resource");
	http_reply_error(res, error);
	return (U_CALLBACK_COMPLETE);
}

/* Carries a change out and answers the operator. */
static void
change(struct server *server, const struct _u_request *in, const char *op,
    int64_t base, json_t *spec, struct _u_response *res)
{
	const char *type = u_map_get(in->map_url, "type");
	const char *name = u_map_get(in->map_url, "name");
	g_autofree char *quoted = event_log_quote(name);
	g_autoptr(GError) error = NULL;
	uint64_t version = 0;

	if (config_change(&server->config, op, type, name, base, spec, &version,
		&error)) {
		event_log(LOG_NOTICE, "change_accepted",
		    "op=%s type=%s name=%s version=%" G_GUINT64_FORMAT, op,
		    type, quoted, version);
		http_reply_json(res, 200,
		    json_pack("{s:s, s:s, s:I}", "type", type, "name", name,
			"version", (json_int_t)version));
		return;
	}
	event_log(LOG_NOTICE, "change_refused", "op=%s name=%s error=%s", op,
	    quoted, error_name(error->code));
	http_reply_error(res, error);
}

/**
 * operator_put() - handler of PUT /api/v1/TYPE/NAME.
 * @in: the request: {"spec": {...}, "base": VERSION}; without base the change
 *	applies to whatever is current
 * @res: the answer
 * @arg: the daemon
 */
int
operator_put(const struct _u_request *in, struct _u_response *res, void *arg)
{
	g_autoptr(GError) error = NULL;
	json_auto_t *body = NULL;
	json_int_t base = -1;
	json_t *spec = NULL;

	if (!operator_authorize(arg, in, res))
		return (U_CALLBACK_COMPLETE);
	body = json_loadb(in->binary_body, in->binary_body_length,
	    JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(body)) {
		error_set(&error, ERROR_BAD_JSON,
		    "the body must be a JSON object without repeated names");
	} else if (json_unpack(body, "{s:o, s?I !}", "spec", &spec, "base",
		       &base) != 0 ||
	    base < -1) {
		error_set(&error, ERROR_BAD_FIELD,
		    "the body must hold spec and may hold base");
	}
	if (error != NULL)
		http_reply_error(res, error);
	else
		change(arg, in, "put", base, spec, res);
	return (U_CALLBACK_COMPLETE);
}

/**
 * operator_delete() - handler of DELETE /api/v1/TYPE/NAME?base=VERSION.
 * @in: the request
 * @res: the answer
 * @arg: the daemon
 */
int
operator_delete(const struct _u_request *in, struct _u_response *res, void *arg)
{
	const char *text = u_map_get(in->map_url, "base");
	g_autoptr(GError) error = NULL;
	gint64 base = -1;

	if (!operator_authorize(arg, in, res))
		return (U_CALLBACK_COMPLETE);
	if (text != NULL &&
	    !g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, &base, NULL)) {
		error_set(&error, ERROR_BAD_FIELD, "base: must be a version");
		http_reply_error(res, error);
		return (U_CALLBACK_COMPLETE);
	}
	change(arg, in, "delete", base, NULL, res);
	return (U_CALLBACK_COMPLETE);
}
