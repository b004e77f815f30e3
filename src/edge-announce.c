/* The daemons' addresses in the store, by which they find each other. */
#include <jansson.h>
#include <string.h>

#include "clock.h"
#include "edge.h"
#include "event-log.h"
#include "net-address.h"

/* Interval between two reads of the addresses by a relay. A new daemon sends
 * datagrams to the others, so this matters only if those are lost. */
#define RELAY_READ_MS 60000
/* The same for other daemons, which know their relay and its successors. */
#define MEMBER_READ_MS 3600000
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

	if (edge_quarantine_apply(e, record))
		return;
	if (record->value == NULL) {
		mesh_directory_remove(&e->mesh.directory, record->key);
		return;
	}
	root = json_loadb((const char *)record->value, record->length, 0, NULL);
	if (root == NULL ||
	    json_unpack(root, "{s:s,s:i,s:s,s?i}", "ip", &ip, "port", &port,
		"domain", &domain, "capacity", &capacity) != 0 ||
	    uv_ip4_addr(ip, port, &addr) != 0) {
		event_log(LOG_WARNING, "record_ignored",
		    "daemon=%s reason=format", record->key);
		return;
	}
	if (strcmp(record->key, e->set.name) == 0 &&
	    !net_address_equal(&e->mesh.addr, &addr))
		return;
	mesh_directory_set(&e->mesh.directory, record->key, domain);
	mesh_add(&e->mesh, record->key, domain, (uint32_t)MAX(capacity, 0),
	    &addr);
}

static void
daemons_snapshot_done(void *owner, GHashTable *seen)
{
	struct edge *e = owner;

	mesh_directory_keep(&e->mesh.directory, seen);
	mesh_on_records_read(&e->mesh);
	edge_announce(e);
	edge_remove_addresses(e);
}

static const struct topic_follower_ops daemons_ops = {
	.record = daemons_record,
	.snapshot_done = daemons_snapshot_done,
};

static void
on_announced(void *arg, const struct store_response *response)
{
	struct edge *e = arg;

	e->announcing = false;
	if (response->result != STORE_OK && response->result != STORE_UNKNOWN) {
		e->announce_again_ms =
		    clock_loop_ms(e->loop) + ANNOUNCE_RETRY_MS;
		return;
	}
	e->announced = true;
	mesh_directory_set(&e->mesh.directory, e->set.name, e->set.domain);
	event_log(LOG_INFO, "announced", "result=%s end=%llu known=%u",
	    store_result_name(response->result),
	    (unsigned long long)response->end,
	    mesh_directory_count(&e->mesh.directory, NULL));
	/* If two daemons start together, at least the one that writes later
	 * reads the other's address. A daemon that hears a relay learns of
	 * the others from it and need not read again. */
	if (!mesh_relay_alive(&e->mesh))
		topic_follower_resync(&e->daemons);
}

static void
on_read_timer(uv_timer_t *timer)
{
	struct edge *e = timer->data;

	topic_follower_start(&e->daemons);
}

/* Returns an array for records to append. */
static GArray *
records_new(void)
{
	GArray *records = g_array_new(FALSE, TRUE, sizeof(struct store_record));

	g_array_set_clear_func(records, store_record_clear);
	return (records);
}

/* Adds this daemon's address to the records to append. */
static void
records_add_self(const struct edge *e, GArray *records)
{
	struct store_record record = { .key = g_strdup(e->set.name) };
	g_autofree char *ip = NULL;
	json_auto_t *root = NULL;
	uint16_t port = 0;
	char *text;

	setting_split_address(e->set.peer_address, &ip, &port);
	root = json_pack("{s:s,s:i,s:s,s:i}", "ip", ip, "port", (int)port,
	    "domain", e->set.domain, "capacity", (int)e->mesh.capacity);
	text = json_dumps(root, JSON_COMPACT);
	record.length = strlen(text);
	record.value = g_memdup2(text, record.length);
	free(text);
	g_array_append_val(records, record);
}

static void
on_removed(void *arg, const struct store_response *response)
{
	event_log(LOG_INFO, "addresses_removed", "result=%s",
	    store_result_name(response->result));
}

/**
 * edge_find_daemons() - start to read the other daemons' addresses.
 * @e: the daemon
 */
void
edge_find_daemons(struct edge *e)
{
	topic_follower_init(&e->daemons, e->store, e->loop, TOPIC_DAEMONS,
	    &daemons_ops, e);
	e->daemons.interval_ms = MEMBER_READ_MS;
	uv_timer_init(e->loop, &e->read_timer);
	e->read_timer.data = e;
	uv_timer_start(&e->read_timer, on_read_timer,
	    e->set.first_start ? mesh_directory_delay_ms(&e->mesh) : 0, 0);
}

/**
 * edge_read_addresses() - read the addresses again, as this daemon has become a
 * relay and needs those of the others.
 * @arg: the struct edge
 */
void
edge_read_addresses(void *arg)
{
	struct edge *e = arg;

	e->daemons.interval_ms = RELAY_READ_MS;
	topic_follower_resync(&e->daemons);
}

/**
 * edge_announce() - write this daemon's address to the store if it should be
 * there and is not.
 * @e: the daemon
 */
void
edge_announce(struct edge *e)
{
	g_autoptr(GArray) records = NULL;

	if (e->announcing || !mesh_directory_lacks_self(&e->mesh) ||
	    clock_loop_ms(e->loop) < e->announce_again_ms)
		return;
	records = records_new();
	records_add_self(e, records);
	e->announcing = e->store->ops->append(e->store, TOPIC_DAEMONS, records,
	    -1, on_announced, e);
	if (!e->announcing)
		e->announce_again_ms =
		    clock_loop_ms(e->loop) + ANNOUNCE_RETRY_MS;
}

/**
 * edge_remove_addresses() - remove the addresses of daemons that are gone.
 * @e: the daemon
 */
void
edge_remove_addresses(struct edge *e)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new();
	g_autoptr(GArray) records = records_new();

	mesh_directory_prune(&e->mesh, names);
	for (guint i = 0; i < names->len; i++) {
		struct store_record record = { .key =
						   g_strdup(names->pdata[i]) };

		g_array_append_val(records, record);
		mesh_directory_remove(&e->mesh.directory, record.key);
	}
	if (records->len > 0)
		(void)e->store->ops->append(e->store, TOPIC_DAEMONS, records,
		    -1, on_removed, e);
}
