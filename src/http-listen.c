/* The daemon's HTTP servers: one for callers, one for operators. */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

#include "client-api.h"
#include "clock.h"
#include "error.h"
#include "http-listen.h"
#include "operator.h"

#define THREAD_STACK_BYTES (512u * 1024)
#define OPERATOR_CONNECTIONS 64
/* A connection that sends nothing for this long is closed. */
#define IDLE_SECONDS 30
/* How long a connection may stay open after the last answer was given. */
#define LINGER_MS 2000
#define LINGER_STEP_MS 20
#define MHD_FLAGS                                                          \
	(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | \
	    MHD_USE_POLL | MHD_USE_ITC)

/* The balancer's page: it stops sending callers here when this is not 200. */
static int
health(const struct _u_request *in, struct _u_response *res, void *arg)
{
	struct server *server = arg;
	const char *state = "ready";

	if (atomic_load(&server->draining))
		state = "leaving";
	else if (!server_ready(server))
		state = "starting";
	ulfius_set_string_body_response(res, server_ready(server) ? 200 : 503,
	    state);
	return (U_CALLBACK_COMPLETE);
}

static void
add(struct _u_instance *inst, const char *method, const char *prefix,
    const char *format,
    int (*handler)(const struct _u_request *, struct _u_response *, void *),
    struct server *server)
{
	ulfius_add_endpoint_by_val(inst, method, prefix, format, 0, handler,
	    server);
}

static void
add_caller_handlers(struct _u_instance *inst, struct server *server)
{
	add(inst, "POST", "/v1", "/completions", client_api_completion, server);
	add(inst, "POST", "/v1", "/chat/completions", client_api_chat, server);
	add(inst, "*", "/s", "/*", client_api_service, server);
	add(inst, "GET", "/health", NULL, health, server);
}

static void
add_operator_handlers(struct _u_instance *inst, struct server *server)
{
	add(inst, "GET", "/api/v1", "/watch", operator_watch, server);
	add(inst, "GET", "/api/v1", "/:type", operator_list, server);
	add(inst, "GET", "/api/v1", "/:type/:name", operator_get, server);
	add(inst, "PUT", "/api/v1", "/:type/:name", operator_put, server);
	add(inst, "DELETE", "/api/v1", "/:type/:name", operator_delete, server);
	add(inst, "GET", "/status", NULL, operator_status, server);
	add(inst, "GET", "/metrics", NULL, operator_metrics, server);
}

/* Binds one address; the instance is ready for its handlers. */
static bool
instance_init(struct _u_instance *inst, struct sockaddr_in *sin,
    const char *address, size_t body_bytes)
{
	g_autofree char *ip = NULL;
	uint16_t port;

	if (!setting_split_address(address, &ip, &port))
		return (false);
	memset(sin, 0, sizeof *sin);
	sin->sin_family = AF_INET;
	sin->sin_port = htons(port);
	inet_pton(AF_INET, ip, &sin->sin_addr);
	if (ulfius_init_instance(inst, port, sin, NULL) != U_OK)
		return (false);
	/* One byte more is let in, so that a longer body can be told apart. */
	inst->max_post_body_size = body_bytes + 1;
	inst->max_post_param_size = body_bytes + 1;
	return (true);
}

static bool
instance_start(struct _u_instance *inst, unsigned connections)
{
	struct MHD_OptionItem options[] = {
		{ MHD_OPTION_CONNECTION_LIMIT, (intptr_t)connections, NULL },
		{ MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL },
		{ MHD_OPTION_CONNECTION_TIMEOUT, IDLE_SECONDS, NULL },
		{ MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, NULL },
		{ MHD_OPTION_SOCK_ADDR, 0, inst->bind_address },
		{ MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger,
		    NULL },
		{ MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed,
		    NULL },
		{ MHD_OPTION_END, 0, NULL },
	};

	return (ulfius_start_framework_with_mhd_options(inst, MHD_FLAGS,
		    options) == U_OK);
}

/**
 * http_listen_start() - bind both addresses and serve.
 * @listen: filled in
 * @server: this daemon
 * @error: ERROR_BAD_SETTING when an address cannot be bound
 */
bool
http_listen_start(struct http_listen *listen, struct server *server,
    GError **error)
{
	const struct settings *set = &server->set;

	if (!instance_init(&listen->clients, &listen->client_sin,
		set->caller_address, (size_t)set->body_bytes) ||
	    !instance_init(&listen->operators, &listen->operator_sin,
		set->operator_address, (size_t)set->body_bytes)) {
		error_set(error, ERROR_BAD_SETTING, "HTTP cannot be set up");
		return (false);
	}
	add_caller_handlers(&listen->clients, server);
	add_operator_handlers(&listen->operators, server);
	if (!instance_start(&listen->clients, (unsigned)set->connections)) {
		error_set(error, ERROR_BAD_SETTING,
		    "--caller-address: %s cannot be bound",
		    set->caller_address);
		return (false);
	}
	if (!instance_start(&listen->operators, OPERATOR_CONNECTIONS)) {
		error_set(error, ERROR_BAD_SETTING,
		    "--operator-address: %s cannot be bound",
		    set->operator_address);
		return (false);
	}
	return (true);
}

/**
 * http_listen_linger() - let answers that were given reach their callers.
 * @listen: the servers; all requests have their answers
 *
 * Connections that stay open without a request are not waited for long.
 */
void
http_listen_linger(struct http_listen *listen)
{
	uint64_t until = clock_now_ms() + LINGER_MS;
	const union MHD_DaemonInfo *info;

	do {
		info = MHD_get_daemon_info(listen->clients.mhd_daemon,
		    MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
		if (info == NULL || info->num_connections == 0)
			return;
		g_usleep(LINGER_STEP_MS * 1000);
	} while (clock_now_ms() < until);
}

/**
 * http_listen_stop() - end both servers.
 * @listen: the servers
 */
void
http_listen_stop(struct http_listen *listen)
{
	ulfius_stop_framework(&listen->clients);
	ulfius_stop_framework(&listen->operators);
	ulfius_clean_instance(&listen->clients);
	ulfius_clean_instance(&listen->operators);
}
