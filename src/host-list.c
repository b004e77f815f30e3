/* Follows the platform's host list, which lags. */
#include "cleanup.h"
#include "clock.h"
#include "event-log.h"
#include "http-client.h"
#include "prober.h"
#include "server.h"

#define LIST_PERIOD_MS 1000
#define LIST_TIMEOUT_MS 2000
/* The list is as it was when its entity tag was given. */
#define STATUS_SAME 304

/* Reads the list if it changed, and takes it. */
static void
host_list_read(struct server *server, const char *url, char **etag)
{
	CLEANUP(http_response_clear) struct http_response reply = { 0 };
	json_t *list;

	if (!http_client_get_changed(url, *etag, LIST_TIMEOUT_MS, &reply,
		NULL) ||
	    (reply.status != 200 && reply.status != STATUS_SAME)) {
		log_debug("host_list_failed", "status=%ld", reply.status);
		return;
	}
	list = json_object_get(reply.json, "hosts");
	if (!json_is_array(list))
		return;
	g_free(*etag);
	*etag = g_steal_pointer(&reply.etag);
	if (inventory_update(&server->inv, list, clock_now_ms()))
		server_view_rebuild(server);
}

/**
 * host_list_run() - the thread that follows the host list.
 * @arg: the daemon
 *
 * While the list cannot be had, the hosts stay as they were last listed.
 */
void *
host_list_run(void *arg)
{
	struct server *server = arg;
	g_autofree char *url = NULL, *etag = NULL;

	url = g_strconcat(server->set.hosts_url, "/hosts", NULL);
	do {
		host_list_read(server, url, &etag);
	} while (server_sleep(server, LIST_PERIOD_MS));
	return (NULL);
}
