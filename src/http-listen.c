/* The HTTP servers of bankliftd: one for clients, one for operators. */
#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>

#include "client-api.h"
#include "clock.h"
#include "error.h"
#include "http-listen.h"
#include "operator.h"

#define THREAD_STACK_BYTES (512u * 1024)
#define OPERATOR_CONNECTIONS_MAX 64
/* A connection that sends nothing for this long is closed. */
#define IDLE_TIMEOUT_S 30
/* Longest wait for clients to close their connections after the last response;
 * see http_listen_linger(). */
#define LINGER_MS 2000
#define LINGER_POLL_MS 20
#define MHD_FLAGS                                                          \
	(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | \
	    MHD_USE_POLL | MHD_USE_ITC)

/* Answers the load balancer's health check; the balancer sends no more clients
 * here once the status is not 200. */
static int
health_check(const struct _u_request *in, struct _u_response *res, void *arg)
{
	enum server_health health = server_tell_health(arg);

	if (health == SERVER_READY)
		ulfius_set_string_body_response(res, 200, "ready");
	else if (health == SERVER_LEAVING)
		ulfius_set_string_body_response(res, 503, "leaving");
	else
		ulfius_set_string_body_response(res, 503, "starting");
	return (U_CALLBACK_COMPLETE);
}

static void
add_handler(struct _u_instance *inst, const char *method, const char *prefix,
    const char *format,
    int (*handler)(const struct _u_request *, struct _u_response *, void *),
    struct server *server)
{
	ulfius_add_endpoint_by_val(inst, method, prefix, format, 0, handler,
	    server);
}

static void
add_client_handlers(struct _u_instance *inst, struct server *server)
{
	add_handler(inst, "POST", "/v1", "/completions", client_api_completion,
	    server);
	add_handler(inst, "POST", "/v1", "/chat/completions", client_api_chat,
	    server);
	add_handler(inst, "*", "/s", "/*", client_api_service, server);
	add_handler(inst, "GET", "/health", NULL, health_check, server);
}

static void
add_operator_handlers(struct _u_instance *inst, struct server *server)
{
	add_handler(inst, "GET", "/api/v1", "/watch", operator_watch, server);
	add_handler(inst, "GET", "/api/v1", "/:type", operator_list, server);
	add_handler(inst, "GET", "/api/v1", "/:type/:name", operator_get,
	    server);
	add_handler(inst, "PUT", "/api/v1", "/:type/:name", operator_put,
	    server);
	add_handler(inst, "DELETE", "/api/v1", "/:type/:name", operator_delete,
	    server);
	add_handler(inst, "GET", "/status", NULL, operator_status, server);
	add_handler(inst, "GET", "/metrics", NULL, operator_metrics, server);
}

/* Prepares a server for an address; handlers may be added after this. */
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
	/* One byte more than the limit is read, so that a body that exceeds it
	 * is recognized. */
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
		{ MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S, NULL },
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
 * http_listen_start() - start both servers.
 * @listen: filled in
 * @server: this daemon
 * @error: ERROR_BAD_SETTING if an address cannot be bound
 *
 * Return: whether both servers were started.
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
		error_set(error, ERROR_BAD_SETTING,
		    "HTTP servers cannot be initialized");
		return (false);
	}
	add_client_handlers(&listen->clients, server);
	add_operator_handlers(&listen->operators, server);
	if (!instance_start(&listen->clients, (unsigned)set->connections)) {
		error_set(error, ERROR_BAD_SETTING,
		    "--caller-address: %s cannot be bound",
		    set->caller_address);
		return (false);
	}
	if (!instance_start(&listen->operators, OPERATOR_CONNECTIONS_MAX)) {
		error_set(error, ERROR_BAD_SETTING,
		    "--operator-address: %s cannot be bound",
		    set->operator_address);
		return (false);
	}
	return (true);
}

/**
 * http_listen_linger() - wait until the last responses have been delivered.
 * @listen: the servers; all requests have been answered
 *
 * Waits until no client connection is open, at most LINGER_MS, since clients
 * may keep connections open without a request.
 */
void
http_listen_linger(struct http_listen *listen)
{
	uint64_t deadline = clock_now_ms() + LINGER_MS;
	const union MHD_DaemonInfo *info;

	do {
		info = MHD_get_daemon_info(listen->clients.mhd_daemon,
		    MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
		if (info == NULL || info->num_connections == 0)
			return;
		g_usleep(LINGER_POLL_MS * 1000);
	} while (clock_now_ms() < deadline);
}

/**
 * http_listen_stop() - stop both servers.
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
