/* Handler of /s/NAME/...: forwards requests to plain services. */
#include <string.h>
#include <urcu-bp.h>

#include "client-api.h"
#include "cleanup.h"
#include "http-reply.h"
#include "service-dispatch.h"

#define PATH_PREFIX "/s/"

/* Splits "/s/NAME/path?query" into the name and "/path?query". */
static bool
split_path(const struct _u_request *in, char **name, char **suffix)
{
	const char *path = in->http_url, *slash;

	if (!g_str_has_prefix(path, PATH_PREFIX))
		return (false);
	path += strlen(PATH_PREFIX);
	slash = path + strcspn(path, "/?");
	*name = g_strndup(path, (gsize)(slash - path));
	*suffix = g_strconcat(*slash == '/' ? "" : "/", slash, NULL);
	return (true);
}

/* Whether the service declares the method as idempotent. */
static bool
method_idempotent(struct request *req, const char *method)
{
	struct route_set *set;
	struct view *view;
	bool idempotent = false;

	rcu_read_lock();
	view = rcu_dereference(req->server->view);
	set = g_hash_table_lookup(view->services, req->service);
	if (set != NULL)
		idempotent = route_set_is_idempotent(set, method);
	rcu_read_unlock();
	return (idempotent);
}

/**
 * client_api_service() - handler of /s/NAME/...
 * @in: the request as received
 * @res: the response
 * @arg: struct server
 */
int
client_api_service(const struct _u_request *in, struct _u_response *res,
    void *arg)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	CLEANUP(request_cleanup) struct request *req = NULL;
	g_autofree char *name = NULL, *suffix = NULL;
	bool by_method;

	req = client_api_begin(arg, in, &f);
	if (req == NULL) {
		http_reply_failure(res, &f, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	u_map_put(res->map_header, "Banklift-Request-Id", req->id);
	if (!split_path(in, &name, &suffix) ||
	    !client_api_set_service(req, name, true, &f)) {
		http_reply_failure(res, &f, req->id);
		request_end(req, OUTCOME_NOT_RUN, (int)res->status, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	by_method = method_idempotent(req, in->http_verb);
	if (!client_api_header_bool(in, "Banklift-Idempotent", by_method,
		&req->idempotent, &f)) {
		http_reply_failure(res, &f, req->id);
		request_end(req, OUTCOME_NOT_RUN, (int)res->status, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	if (client_api_claim(req, in, res))
		service_dispatch(req, in, suffix, res);
	return (U_CALLBACK_COMPLETE);
}
