/* Daemons find each other by records in the store. */
#include <jansson.h>
#include <string.h>

#include "edge.h"
#include "event-log.h"

/* Between two reads of the daemons' records. A newcomer tells of itself, so
 * this matters only where its datagrams are lost. */
#define DAEMONS_PAUSE_MS 60000
/* After a failed append. */
#define ANNOUNCE_AGAIN_MS 500

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
daemons_whole(void *owner, GHashTable *seen)
{
	struct edge *e = owner;

	mesh_on_records_read(&e->mesh);
}

static const struct topic_follower_ops daemons_ops = {
	.record = daemons_record,
	.snapshot_done = daemons_whole,
};

static void
on_again(uv_timer_t *timer)
{
	edge_announce(timer->data);
}

static void
on_announced(void *arg, const struct store_response *answer)
{
	struct edge *e = arg;
	const struct mesh *mesh = &e->mesh;

	if (e->draining_since_ms != 0)
		return;
	if (answer->result != STORE_OK && answer->result != STORE_UNKNOWN) {
		uv_timer_start(&e->drain_timer, on_again, ANNOUNCE_AGAIN_MS, 0);
		return;
	}
	e->announced = true;
	event_log(LOG_INFO, "announced", "result=%s end=%llu",
	    store_result_name(answer->result), (unsigned long long)answer->end);
	/* Of two that start together at least the later writer reads the
	 * other's record. One that a relay told of the others need not. */
	if (!mesh_relay_alive(mesh))
		topic_follower_resync(&e->daemons);
}

/**
 * edge_find_daemons() - read the other daemons' addresses.
 * @e: the daemon
 *
 * At once, not after the own address was written: where hundreds of daemons
 * come back together, their writes take half a second one after the other.
 */
void
edge_find_daemons(struct edge *e)
{
	topic_follower_init(&e->daemons, e->store, e->loop, TOPIC_DAEMONS,
	    &daemons_ops, e);
	e->daemons.interval_ms = DAEMONS_PAUSE_MS;
	topic_follower_start(&e->daemons);
}

/**
 * edge_announce() - write this daemon's address.
 * @e: the daemon
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
		uv_timer_start(&e->drain_timer, on_again, ANNOUNCE_AGAIN_MS, 0);
}
