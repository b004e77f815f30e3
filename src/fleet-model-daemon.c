/* Simulated daemon: its start and stop, its reads of the store, its rounds. */
#include <string.h>

#include "fleet-model-daemon.h"
#include "fwd.h"

/* Bounds of the time that a read of the addresses takes. */
#define READ_MIN_MS 20
#define READ_SPREAD_MS 40
/* Time that the store takes for an append of an address, one after the other,
 * and that its answer takes. */
#define APPEND_MS 2
#define ANSWER_MS 4
/* Interval at which the reader proves the configuration. */
#define PROOF_MS 500
/* Interval at which the reader distributes entries. */
#define FEED_MS 1000
/* Ages of received state after which the first daemon and the last one read the
 * store themselves, for bounds of 4 s on configurations and on entries. */
#define PROOF_STALE_MIN_MS 2400
#define PROOF_STALE_MAX_MS 3200
#define FEED_STALE_MIN_MS 2000
#define FEED_STALE_MAX_MS 2800
/* Daemons of each failure domain with a larger capacity. */
#define LARGE_PER_DOMAIN 3
#define LARGE_CAPACITY 500
#define SMALL_CAPACITY 120

static uv_loop_t model_loop;

/* Takes over all entries up to an offset, at a daemon that has started. */
static void
daemon_sync(struct model_daemon *daemon, uint64_t end)
{
	struct topic_follower *f = &daemon->registry.endpoints;

	f->synced = true;
	f->next = end;
	f->proof_ms = fleet_model_clock(daemon);
	daemon->known_end = end;
}

/**
 * model_daemon_read() - read the entries from the store.
 * @daemon: the daemon
 */
void
model_daemon_read(struct model_daemon *daemon)
{
	struct topic_follower *f = &daemon->registry.endpoints;

	if (!f->synced) {
		daemon_sync(daemon, daemon->model->n_records);
		return;
	}
	topic_follower_advance(f, daemon->model->n_records);
	f->proof_ms = fleet_model_clock(daemon);
	model_daemon_learn_until(daemon, f->next);
}

/* A daemon lacks entries that no other daemon could send. */
static void
daemon_missed(void *arg)
{
	struct model_daemon *daemon = arg;

	daemon->entry_reads++;
	if (daemon->mesh.self.store_ok)
		model_daemon_read(daemon);
}

/* Counts what a daemon was told to count, and its evidence of endpoints. */
static void
daemon_collect(void *arg, struct sum_table *own, uint64_t now_ms)
{
	const struct model_daemon *daemon = arg;

	own[SUM_DEMAND].n = 0;
	if (daemon->demand > 0)
		sum_table_find(&own[SUM_DEMAND], MODEL_DEMAND_KEY)->values[0] =
		    daemon->demand;
	fwd_evidence_fill(&daemon->registry, &own[SUM_EVIDENCE], now_ms);
}

/* Adds an endpoint that serves, as all daemons know it. */
static void
daemon_add_endpoint(struct model_daemon *daemon, unsigned index)
{
	struct endpoint_report report = { 0 };

	report.id = g_strdup_printf("e%u", index);
	report.service = g_strdup("s");
	report.domain =
	    g_strdup_printf("z%u", index % daemon->model->n_domains);
	report.staged = g_ptr_array_new_with_free_func(g_free);
	fleet_update(&daemon->registry.fleet, &report, 1, 0);
}

/* Takes the place of applying an entry: all endpoints are known. */
static void
record_learn(void *owner, const struct store_record *record)
{
	struct model_daemon *daemon = owner;

	daemon->n_removed += record->key[0] == MODEL_REMOVED_KEY;
	model_daemon_learn(daemon, record->offset);
}

static const struct topic_follower_ops model_ops = { .record = record_learn };

/* Capacity of a daemon, in thousandths of a core. */
static uint32_t
daemon_capacity(const struct model_daemon *daemon)
{
	return (daemon->index < daemon->model->n_domains * LARGE_PER_DOMAIN ?
		LARGE_CAPACITY :
		SMALL_CAPACITY);
}

/* Schedules another read of the addresses in the store. */
static void
daemon_read_later(void *arg)
{
	struct model_daemon *daemon = arg;

	daemon->store_calls++;
	daemon->read_at_ms =
	    daemon->model->now_ms + READ_MIN_MS + READ_SPREAD_MS / 2;
}

/**
 * model_daemon_start() - start a daemon that knows no other.
 * @daemon: the daemon
 */
void
model_daemon_start(struct model_daemon *daemon)
{
	struct fleet_model *model = daemon->model;
	struct mesh *mesh = &daemon->mesh;

	daemon->registry.loop = &model_loop;
	fleet_init(&daemon->registry.fleet, &model_loop);
	poison_init(&daemon->registry.poison);
	for (unsigned i = 0; i < model->n_endpoints; i++)
		daemon_add_endpoint(daemon, i);
	daemon->registry.catalog = catalog_create();
	daemon->registry.catalog->version = 1;
	mesh->loop = &model_loop;
	mesh->registry = &daemon->registry;
	mesh->name = g_strdup_printf("d%03u", daemon->index);
	mesh->domain = g_strdup_printf("z%u", daemon->domain);
	mesh->capacity = daemon_capacity(daemon);
	mesh->addr = fleet_model_address(daemon->index);
	mesh->send_datagram = fleet_model_send;
	mesh->send_arg = daemon;
	mesh->missed = daemon_missed;
	mesh->missed_arg = daemon;
	mesh->collect_sums = daemon_collect;
	mesh->collect_sums_arg = daemon;
	mesh->became_relay = daemon_read_later;
	mesh->became_relay_arg = daemon;
	mesh->self.store_ok = true;
	daemon->registry.endpoints.ops = &model_ops;
	daemon->registry.endpoints.owner = daemon;
	topic_follower_init_copy(&daemon->registry.endpoints);
	topic_follower_init_copy(&daemon->registry.config);
	daemon->known = g_byte_array_new();
	daemon->known_end = UINT64_MAX;
	daemon->n_removed = 0;
	mesh_init(mesh, fleet_model_clock(daemon),
	    fleet_model_random(model, UINT32_MAX) + 1);
	daemon->up = true;
	daemon->relay = NULL;
	daemon->announce_at_ms = 0;
	daemon->connected_ms = 0;
	daemon->store_calls++;
	daemon->read_at_ms = model->now_ms + READ_MIN_MS +
	    fleet_model_random(model, READ_SPREAD_MS);
	if (model->now_ms < MODEL_START_MS + MODEL_START_SPREAD_MS)
		daemon->read_at_ms += mesh_directory_delay_ms(mesh);
}

/**
 * model_daemon_stop() - stop a daemon without a word to the others.
 * @daemon: the daemon; may be stopped already
 */
void
model_daemon_stop(struct model_daemon *daemon)
{
	if (!daemon->up)
		return;
	mesh_clear(&daemon->mesh);
	fleet_clear(&daemon->registry.fleet);
	poison_release(&daemon->registry.poison);
	topic_follower_clear(&daemon->registry.endpoints);
	topic_follower_clear(&daemon->registry.config);
	catalog_unref(daemon->registry.catalog);
	g_byte_array_free(daemon->known, TRUE);
	g_free((char *)daemon->mesh.name);
	g_free((char *)daemon->mesh.domain);
	memset(&daemon->mesh, 0, sizeof daemon->mesh);
	memset(&daemon->registry, 0, sizeof daemon->registry);
	daemon->up = false;
}

/* Reads the addresses that are in the store. */
static void
daemon_read_records(struct model_daemon *daemon)
{
	struct fleet_model *model = daemon->model;
	struct mesh *mesh = &daemon->mesh;

	daemon->read_at_ms = 0;
	for (unsigned i = 0; i < model->n; i++) {
		const struct model_daemon *other = &model->daemons[i];
		struct sockaddr_in addr = fleet_model_address(i);
		g_autofree char *name = g_strdup_printf("d%03u", i);
		g_autofree char *domain = g_strdup_printf("z%u", other->domain);

		if (!model->recorded[i])
			continue;
		mesh_directory_set(&mesh->directory, name, domain);
		mesh_add(mesh, name, domain, daemon_capacity(other), &addr);
	}
	mesh_set_records_read(mesh);
}

/* Starts to write a daemon's address to the store where it should be there. */
static void
daemon_announce(struct model_daemon *daemon)
{
	struct fleet_model *model = daemon->model;

	if (daemon->announce_at_ms != 0 ||
	    !mesh_directory_lacks_self(&daemon->mesh))
		return;
	daemon->store_calls++;
	model->append_free_ms =
	    MAX(model->append_free_ms, model->now_ms) + APPEND_MS;
	daemon->announce_at_ms = model->append_free_ms + ANSWER_MS;
}

/* Notes that a daemon's address has been written. */
static void
daemon_finish_announce(struct model_daemon *daemon)
{
	struct fleet_model *model = daemon->model;
	struct mesh *mesh = &daemon->mesh;

	if (daemon->announce_at_ms == 0 ||
	    model->now_ms < daemon->announce_at_ms)
		return;
	daemon->announce_at_ms = 0;
	model->recorded[daemon->index] = true;
	mesh_directory_set(&mesh->directory, mesh->name, mesh->domain);
	if (!mesh_relay_alive(mesh))
		daemon_read_later(daemon);
}

/* Notes when a daemon first hears its relay, or is one. */
static void
daemon_note_connected(struct model_daemon *daemon)
{
	const struct mesh *mesh = &daemon->mesh;

	if (daemon->connected_ms == 0 && mesh->records_read_ms != 0 &&
	    (mesh->relay == NULL || mesh_relay_alive(mesh)))
		daemon->connected_ms =
		    fleet_model_clock(daemon) - mesh->opened_ms;
}

/**
 * model_daemon_feed() - read the entries from the store and distribute them.
 * @daemon: the daemon
 */
void
model_daemon_feed(struct model_daemon *daemon)
{
	struct topic_follower *f = &daemon->registry.endpoints;
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	uint64_t from = f->next;

	g_array_set_clear_func(records, store_record_clear);
	for (uint64_t at = from; at < daemon->model->n_records; at++) {
		/* The end of an entry that nobody knows. */
		struct store_record record = { .offset = at };

		record.key = g_strdup_printf("x%" G_GUINT64_FORMAT, at);
		g_array_append_val(records, record);
	}
	model_daemon_read(daemon);
	mesh_send_entries(&daemon->mesh, from, f->next, records);
}

/* Has a daemon that has started fetch the entries: from its relay, or from the
 * store if it is one. */
static void
daemon_fetch_entries(struct model_daemon *daemon)
{
	const struct mesh *mesh = &daemon->mesh;
	const struct mesh_peer *relay = mesh->relay;

	if (daemon->registry.endpoints.synced)
		return;
	if (relay == NULL) {
		if (mesh->records_read_ms != 0)
			daemon_sync(daemon, daemon->model->n_records);
		return;
	}
	if (mesh_peer_is_relay(mesh, relay) &&
	    relay->entries_end != MESH_NO_ENTRIES)
		daemon_sync(daemon, relay->entries_end);
}

/* Whether a daemon queries the store, given the time at which it last received
 * the store's state from others. */
static bool
daemon_queries_store(struct model_daemon *daemon, uint64_t updated_ms,
    unsigned min_ms, unsigned max_ms)
{
	unsigned stale_ms = mesh_stale_after_ms(&daemon->mesh, min_ms, max_ms);
	bool stale = updated_ms != 0 &&
	    fleet_model_clock(daemon) - updated_ms >= stale_ms;

	daemon->store_queries += stale;
	return (stale || mesh_is_reader(&daemon->mesh));
}

/* Reads the store, if it answers, at the daemon's own times. */
static void
daemon_read_store(struct model_daemon *daemon)
{
	uint64_t now = daemon->model->now_ms;
	struct registry *registry = &daemon->registry;

	if (now % PROOF_MS == daemon->index % PROOF_MS &&
	    daemon_queries_store(daemon, registry->config.peer_update_ms,
		PROOF_STALE_MIN_MS, PROOF_STALE_MAX_MS) &&
	    daemon->mesh.self.store_ok)
		registry->config.proof_ms = fleet_model_clock(daemon);
	if (now % FEED_MS == daemon->index % FEED_MS &&
	    daemon_queries_store(daemon,
		MAX(registry->endpoints.proof_ms,
		    registry->endpoints.peer_update_ms),
		FEED_STALE_MIN_MS, FEED_STALE_MAX_MS) &&
	    daemon->mesh.self.store_ok)
		model_daemon_feed(daemon);
}

/**
 * model_daemon_step() - run what is due at a daemon in this millisecond.
 * @daemon: the daemon
 */
void
model_daemon_step(struct model_daemon *daemon)
{
	struct fleet_model *model = daemon->model;
	uint64_t now = model->now_ms;

	if (!daemon->up && now == daemon->start_ms)
		model_daemon_start(daemon);
	if (!daemon->up)
		return;
	daemon->mesh.now_ms = fleet_model_clock(daemon);
	if (daemon->read_at_ms != 0 && now >= daemon->read_at_ms) {
		daemon_read_records(daemon);
		daemon_announce(daemon);
	}
	daemon_finish_announce(daemon);
	daemon_read_store(daemon);
	if (now % MESH_ROUND_MS != daemon->start_ms % MESH_ROUND_MS)
		return;
	mesh_round(&daemon->mesh);
	daemon_fetch_entries(daemon);
	daemon_announce(daemon);
	daemon->relay_changes += daemon->mesh.relay != daemon->relay;
	daemon->relay = daemon->mesh.relay;
	daemon_note_connected(daemon);
}
