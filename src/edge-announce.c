/* The daemons' addresses in the store, by which they find each other. */
#include <jansson.h>
#include <string.h>

#include "edge.h"
#include "event-log.h"

/* Interval between two reads of the daemons' records. A new daemon sends
 * datagrams to the others, so this matters only if those are lost. */
#define DAEMONS_INTERVAL_MS 60000
/* Pause after a failed append. */
#define ANNOUNCE_RETRY_MS 500

static void
daemons_record(void *owner, const struct store_record *record)
{
	struct edge *e = owner;
	json_auto_t *root = NULL;
	const char *ip, *domain;
	struct sockaddr_in addr;
	int port, capacity = 0;

	if (edge_quarantine_apply(e, record) || record->value == NULL)
		return;
	root = json_loadb((const char *)record->value, record->length, 0, NULL);
	if (root == NULL ||
	    json_unpack(root, "{s:s,s:i,s:s,s?i}", "ip", &ip, "port", &port,
		"domain", &domain, "capacity", &capacity) != 0 ||
	    uv_ip4_addr(ip, port, &addr) != 0) {
		event_log(LOG_WARNING, "record_ignored",
		    "daemon=%s reason=format", record->key);
		return;
	}
	mesh_add(&e->mesh, record->key, domain, (uint32_t)MAX(capacity, 0),
	    &addr);
}

static void
daemons_snapshot_done(void *owner, GHashTable *seen)
{
	struct edge *e = owner;

	mesh_on_records_read(&e->mesh);
}

static const struct topic_follower_ops daemons_ops = {
	.record = daemons_record,
	.snapshot_done = daemons_snapshot_done,
};

static void
on_announce_retry(uv_timer_t *timer)
{
	edge_announce(timer->data);
}

static void
on_announced(void *arg, const struct store_response *response)
{
	struct edge *e = arg;
	const struct mesh *mesh = &e->mesh;

	if (e->draining_since_ms != 0)
		return;
	if (response->result != STORE_OK && response->result != STORE_UNKNOWN) {
		uv_timer_start(&e->drain_timer, on_announce_retry,
		    ANNOUNCE_RETRY_MS, 0);
		return;
	}
	e->announced = true;
	event_log(LOG_INFO, "announced", "result=%s end=%llu",
	    store_result_name(response->result),
	    (unsigned long long)response->end);
	/* If two daemons start together, at least the one that writes later
	 * reads the other's record. A daemon that hears a relay learns of
	 * the others from it and need not read again. */
	if (!mesh_relay_alive(mesh))
		topic_follower_resync(&e->daemons);
}

/**
 * edge_find_daemons() - start to read the other daemons' addresses.
 * @e: the daemon
 *
 * The reading does not wait until this daemon's address is written: when
 * hundreds of daemons restart together, their writes, one after the other, take
 * half a second.
 */
void
edge_find_daemons(struct edge *e)
{
	topic_follower_init(&e->daemons, e->store, e->loop, TOPIC_DAEMONS,
	    &daemons_ops, e);
	e->daemons.interval_ms = DAEMONS_INTERVAL_MS;
	topic_follower_start(&e->daemons);
}

/**
 * edge_announce() - write this daemon's address to the store.
 * @e: the daemon
 *
 * It is tried again until it succeeds or its outcome is unknown.
 */
void
edge_announce(struct edge *e)
{
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	struct store_record record = { 0 };
	g_autofree char *ip = NULL;
	json_auto_t *root = NULL;
	uint16_t port = 0;
	char *text;

	setting_split_address(e->set.peer_address, &ip, &port);
	root = json_pack("{s:s,s:i,s:s,s:i}", "ip", ip, "port", (int)port,
	    "domain", e->set.domain, "capacity", (int)e->mesh.capacity);
	text = json_dumps(root, JSON_COMPACT);
	g_array_set_clear_func(records, store_record_clear);
	record.key = g_strdup(e->set.name);
	record.length = strlen(text);
	record.value = g_memdup2(text, record.length);
	free(text);
	g_array_append_val(records, record);
	if (!e->store->ops->append(e->store, TOPIC_DAEMONS, records, -1,
		on_announced, e))
		uv_timer_start(&e->drain_timer, on_announce_retry,
		    ANNOUNCE_RETRY_MS, 0);
}
