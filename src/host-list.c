/* Polls the platform's host list, which lags behind the hosts. */
#include "cleanup.h"
#include "clock.h"
#include "event-log.h"
#include "http-client.h"
#include "prober.h"
#include "server.h"

#define LIST_PERIOD_MS 1000
#define LIST_TIMEOUT_MS 2000
/* HTTP status: the list still has the entity tag that was sent. */
#define STATUS_NOT_MODIFIED 304

/* Fetches the list if it has changed, and updates the inventory from it. */
static void
host_list_fetch(struct server *server, const char *url, char **etag)
{
	CLEANUP(http_response_clear) struct http_response response = { 0 };
	json_t *list;

	if (!http_client_get_changed(url, *etag, LIST_TIMEOUT_MS, &response,
		NULL) ||
	    (response.status != 200 &&
		response.status != STATUS_NOT_MODIFIED)) {
		log_debug("host_list_failed", "status=%ld", response.status);
		return;
	}
	list = json_object_get(response.json, "hosts");
	if (!json_is_array(list))
		return;
	g_free(*etag);
	*etag = g_steal_pointer(&response.etag);
	if (inventory_update(&server->inv, list, clock_now_ms()))
		server_view_rebuild(server);
}

/**
 * host_list_run() - thread that follows the host list.
 * @arg: the daemon
 *
 * While the list cannot be fetched, the hosts stay as they were last listed.
 */
void *
host_list_run(void *arg)
{
	struct server *server = arg;
	g_autofree char *url = NULL, *etag = NULL;

	url = g_strconcat(server->set.hosts_url, "/hosts", NULL);
	do {
		host_list_fetch(server, url, &etag);
	} while (server_sleep(server, LIST_PERIOD_MS));
	return (NULL);
}
