/* Many daemons' knowledge of each other in one process, in virtual time. */
#include <string.h>

#include "fleet-model.h"

/* Daemons start within this, in any order. */
#define START_SPREAD_MS 300
/* From a daemon's start to its reading of the others' records. */
#define READ_LEAST_MS 20
#define READ_SPREAD_MS 40
/* Virtual time begins here: 0 stands for never. */
#define BEGIN_MS 1000
/* The daemon that reads the configuration proves it this often. */
#define PROOF_MS 500
/* The daemon that reads the entries tells of them this often. */
#define FEED_MS 1000
/* Ages of others' news after which the first daemon and the last one read the
 * store for themselves: bounds of 4 s on configurations and on entries. */
#define PROOF_LEAST_MS 2400
#define PROOF_MOST_MS 3200
#define FEED_LEAST_MS 2000
#define FEED_MOST_MS 2800
/* Records of hosts: an entry is written only when more than its beat changed,
 * so in a calm fleet there are none. */
#define RECORDS_S 0
/* The first daemons of each failure domain have more room. */
#define LARGE_A_DOMAIN 3
#define LARGE_CAPACITY 500
#define SMALL_CAPACITY 120

/* A datagram on its way. */
struct model_datagram {
	unsigned from;
	unsigned to;
	char *bytes;
	size_t length;
};

static uv_loop_t model_loop;

/**
 * fleet_model_random() - a random number of the model's own.
 * @model: the model
 * @below: it is less than this
 *
 * A small generator, so that a seed tells the whole run.
 */
uint32_t
fleet_model_random(struct fleet_model *model, uint32_t below)
{
	model->seed = model->seed * 6364136223846793005u + 1442695040888963407u;
	return ((uint32_t)(model->seed >> 33) % below);
}

static struct sockaddr_in
model_address(unsigned at)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };

	addr.sin_addr.s_addr = htonl(at + 1);
	addr.sin_port = htons(1);
	return (addr);
}

static void
datagram_free(void *data)
{
	struct model_datagram *d = data;

	g_free(d->bytes);
	g_free(d);
}

static void
model_send(void *arg, const struct sockaddr_in *to, const char *bytes,
    size_t length)
{
	struct model_daemon *daemon = arg;
	struct fleet_model *model = daemon->model;
	struct model_datagram *d = g_new(struct model_datagram, 1);

	daemon->sent++;
	daemon->sent_bytes += length;
	d->from = daemon->index;
	d->to = ntohl(to->sin_addr.s_addr) - 1;
	d->bytes = g_memdup2(bytes, length);
	d->length = length;
	g_ptr_array_add(model->in_flight, d);
}

/* A daemon reads the entries for itself. */
static void
daemon_missed(void *arg)
{
	struct model_daemon *daemon = arg;

	daemon->entry_reads++;
	daemon->registry.endpoints.next =
	    daemon->model->now_ms * RECORDS_S / 1000;
	daemon->registry.endpoints.peer_update_ms = daemon->model->now_ms;
}

/* An endpoint that serves, as all daemons know it. */
static void
daemon_add_endpoint(struct model_daemon *daemon, unsigned at)
{
	struct endpoint_report report = { 0 };

	report.id = g_strdup_printf("e%u", at);
	report.service = g_strdup("s");
	report.staged = g_ptr_array_new_with_free_func(g_free);
	fleet_update(&daemon->registry.fleet, &report, 1, 0);
}

/* Begins a run of a daemon that knows nobody. */
static void
daemon_begin(struct model_daemon *daemon)
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
	mesh->capacity = daemon->index < model->n_domains * LARGE_A_DOMAIN ?
	    LARGE_CAPACITY :
	    SMALL_CAPACITY;
	mesh->send_datagram = model_send;
	mesh->send_arg = daemon;
	mesh->missed = daemon_missed;
	mesh->missed_arg = daemon;
	mesh->self.store_ok = true;
	daemon->registry.endpoints.synced = true;
	daemon->registry.endpoints.next = model->now_ms * RECORDS_S / 1000;
	mesh_init(mesh, model->now_ms,
	    fleet_model_random(model, UINT32_MAX) + 1);
	daemon->up = true;
	daemon->relay = NULL;
	daemon->read_at_ms = model->now_ms + READ_LEAST_MS +
	    fleet_model_random(model, READ_SPREAD_MS);
}

static void
daemon_end(struct model_daemon *daemon)
{
	if (!daemon->up)
		return;
	mesh_clear(&daemon->mesh);
	fleet_clear(&daemon->registry.fleet);
	poison_release(&daemon->registry.poison);
	catalog_unref(daemon->registry.catalog);
	g_free((char *)daemon->mesh.name);
	g_free((char *)daemon->mesh.domain);
	memset(&daemon->mesh, 0, sizeof daemon->mesh);
	memset(&daemon->registry, 0, sizeof daemon->registry);
	daemon->up = false;
}

/* Reads the records of all daemons that had started by then. */
static void
daemon_read(struct model_daemon *daemon)
{
	struct fleet_model *model = daemon->model;

	daemon->read_at_ms = 0;
	for (unsigned i = 0; i < model->n; i++) {
		const struct model_daemon *other = &model->daemons[i];
		struct sockaddr_in addr = model_address(i);

		if (other->up && other != daemon)
			mesh_add(&daemon->mesh, other->mesh.name,
			    other->mesh.domain, other->mesh.capacity, &addr);
	}
	mesh_set_records_read(&daemon->mesh);
}

/**
 * fleet_model_new() - daemons that start within a third of a second.
 * @n: daemons
 * @n_domains: failure domains
 * @n_endpoints: endpoints
 * @seed: of the random numbers
 */
struct fleet_model *
fleet_model_new(unsigned n, unsigned n_domains, unsigned n_endpoints,
    uint64_t seed)
{
	struct fleet_model *model = g_new0(struct fleet_model, 1);

	model->now_ms = BEGIN_MS;
	model->counted_ms = BEGIN_MS;
	model->n = n;
	model->n_domains = MIN(n_domains, MODEL_DOMAINS_MAX);
	model->n_endpoints = n_endpoints;
	model->seed = seed;
	model->in_flight = g_ptr_array_new_with_free_func(datagram_free);
	model->daemons = g_new0(struct model_daemon, n);
	for (unsigned i = 0; i < n; i++) {
		model->daemons[i].model = model;
		model->daemons[i].index = i;
		model->daemons[i].domain = i % model->n_domains;
		model->daemons[i].start_ms =
		    BEGIN_MS + 1 + fleet_model_random(model, START_SPREAD_MS);
	}
	return (model);
}

/**
 * fleet_model_free() - free a model.
 * @model: the model
 */
void
fleet_model_free(struct fleet_model *model)
{
	for (unsigned i = 0; i < model->n; i++)
		daemon_end(&model->daemons[i]);
	g_ptr_array_free(model->in_flight, TRUE);
	g_free(model->daemons);
	g_free(model);
}

/**
 * fleet_model_find() - a daemon by its name.
 * @model: the model
 * @name: the name
 */
struct model_daemon *
fleet_model_find(const struct fleet_model *model, const char *name)
{
	guint64 at = g_ascii_strtoull(name + 1, NULL, 10);

	return (at < model->n ? &model->daemons[at] : NULL);
}

/**
 * fleet_model_start() - have a daemon start.
 * @model: the model
 * @at: index of the daemon
 * @in_ms: from now
 */
void
fleet_model_start(struct fleet_model *model, unsigned at, uint64_t in_ms)
{
	model->daemons[at].start_ms = model->now_ms + in_ms;
}

/**
 * fleet_model_stop() - end a daemon without a word.
 * @model: the model
 * @at: index of the daemon
 */
void
fleet_model_stop(struct fleet_model *model, unsigned at)
{
	daemon_end(&model->daemons[at]);
	model->daemons[at].start_ms = UINT64_MAX;
}

/**
 * fleet_model_set_load() - give each daemon requests at endpoints drawn at
 * random.
 * @model: the model
 * @each: requests of each daemon
 */
void
fleet_model_set_load(struct fleet_model *model, unsigned each)
{
	for (unsigned i = 0; i < model->n; i++) {
		struct model_daemon *daemon = &model->daemons[i];
		struct endpoint *ep;

		if (!daemon->up)
			continue;
		TAILQ_FOREACH(ep, &daemon->registry.fleet.endpoints, entry)
			ep->inflight = 0;
		for (unsigned k = 0; k < each; k++) {
			g_autofree char *id = g_strdup_printf("e%u",
			    fleet_model_random(model, model->n_endpoints));

			fleet_find(&daemon->registry.fleet, id)->inflight++;
		}
	}
}

/* Delivers what was sent in the millisecond before. */
static void
model_deliver(struct fleet_model *model)
{
	GPtrArray *now = model->in_flight;

	model->in_flight = g_ptr_array_new_with_free_func(datagram_free);
	for (guint i = 0; i < now->len; i++) {
		struct model_datagram *d = now->pdata[i];
		struct sockaddr_in from = model_address(d->from);
		struct model_daemon *to;

		if (d->to >= model->n ||
		    fleet_model_random(model, 1000) < model->loss)
			continue;
		to = &model->daemons[d->to];
		if (!to->up ||
		    model->cut[model->daemons[d->from].domain][to->domain])
			continue;
		to->received++;
		to->received_bytes += d->length;
		to->mesh.now_ms = model->now_ms;
		mesh_receive(&to->mesh, d->bytes, d->length, &from);
	}
	g_ptr_array_free(now, TRUE);
}

/* Tells of entries that were read: nothing that others have to know. */
static void
daemon_feed(struct model_daemon *daemon)
{
	struct topic_follower *f = &daemon->registry.endpoints;
	g_autoptr(GArray) none =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	uint64_t from = f->next;

	f->next = daemon->model->now_ms * RECORDS_S / 1000;
	f->peer_update_ms = daemon->model->now_ms;
	mesh_send_entries(&daemon->mesh, from, f->next, none);
}

/* Whether a daemon asks the store, of what others told it of at some time. */
static bool
daemon_asks(struct model_daemon *daemon, uint64_t fed_ms, unsigned least,
    unsigned most)
{
	unsigned patience = mesh_stale_after_ms(&daemon->mesh, least, most);
	bool untold = fed_ms != 0 && daemon->model->now_ms - fed_ms >= patience;

	daemon->store_queries += untold;
	return (untold || mesh_is_reader(&daemon->mesh));
}

/* Reads the store, if it answers, at the daemon's own moments. */
static void
daemon_read_store(struct model_daemon *daemon)
{
	uint64_t now = daemon->model->now_ms;
	struct registry *registry = &daemon->registry;

	if (now % PROOF_MS == daemon->index % PROOF_MS &&
	    daemon_asks(daemon, registry->config.peer_update_ms, PROOF_LEAST_MS,
		PROOF_MOST_MS) &&
	    daemon->mesh.self.store_ok)
		registry->config.proof_ms = now;
	if (now % FEED_MS == daemon->index % FEED_MS &&
	    daemon_asks(daemon, registry->endpoints.peer_update_ms,
		FEED_LEAST_MS, FEED_MOST_MS) &&
	    daemon->mesh.self.store_ok)
		daemon_feed(daemon);
}

/* What a daemon does by its own clock. */
static void
daemon_turn(struct model_daemon *daemon)
{
	struct fleet_model *model = daemon->model;
	uint64_t now = model->now_ms;

	if (!daemon->up && now == daemon->start_ms)
		daemon_begin(daemon);
	if (!daemon->up)
		return;
	daemon->mesh.now_ms = now;
	if (daemon->read_at_ms != 0 && now >= daemon->read_at_ms)
		daemon_read(daemon);
	daemon_read_store(daemon);
	if (now % MESH_ROUND_MS != daemon->start_ms % MESH_ROUND_MS)
		return;
	mesh_round(&daemon->mesh);
	daemon->relay_changes += daemon->mesh.relay != daemon->relay;
	daemon->relay = daemon->mesh.relay;
}

/**
 * fleet_model_run() - let time pass.
 * @model: the model
 * @ms: how much
 */
void
fleet_model_run(struct fleet_model *model, uint64_t ms)
{
	while (ms-- > 0) {
		model->now_ms++;
		model_deliver(model);
		for (unsigned i = 0; i < model->n; i++)
			daemon_turn(&model->daemons[i]);
	}
}

/**
 * fleet_model_reset_counts() - begin the counts anew.
 * @model: the model
 */
void
fleet_model_reset_counts(struct fleet_model *model)
{
	model->counted_ms = model->now_ms;
	for (unsigned i = 0; i < model->n; i++) {
		struct model_daemon *daemon = &model->daemons[i];

		daemon->sent = daemon->sent_bytes = 0;
		daemon->received = daemon->received_bytes = 0;
		daemon->relay_changes = 0;
		daemon->entry_reads = 0;
		daemon->store_queries = 0;
	}
}

/* Requests at each endpoint, at all daemons that run. */
static GArray *
model_truth(const struct fleet_model *model)
{
	GArray *truth = g_array_new(FALSE, TRUE, sizeof(unsigned));

	g_array_set_size(truth, model->n_endpoints);
	for (unsigned i = 0; i < model->n; i++) {
		const struct endpoint *ep;
		unsigned at = 0;

		if (!model->daemons[i].up)
			continue;
		TAILQ_FOREACH(ep, &model->daemons[i].registry.fleet.endpoints,
		    entry)
			g_array_index(truth, unsigned, at++) += ep->inflight;
	}
	return (truth);
}

/* Compares one daemon's counts with the truth. */
static void
sight_off(const struct model_daemon *daemon, const GArray *truth,
    struct model_stats *sight)
{
	const struct endpoint *ep;
	unsigned at = 0;

	TAILQ_FOREACH(ep, &daemon->registry.fleet.endpoints, entry) {
		unsigned is = g_array_index(truth, unsigned, at++);
		unsigned seen = ep->inflight + ep->peer_inflight;
		unsigned off = is > seen ? is - seen : seen - is;

		sight->load_error_mean += off;
		sight->load_error_max = MAX(sight->load_error_max, off);
	}
}

static void
sight_counts(const struct model_daemon *daemon, double seconds,
    struct model_stats *sight)
{
	sight->relay_changes += daemon->relay_changes;
	sight->entry_reads += daemon->entry_reads;
	sight->store_queries += daemon->store_queries;
	sight->sent_s += (double)daemon->sent / seconds;
	sight->received_s += (double)daemon->received / seconds;
	sight->received_bytes_s += (double)daemon->received_bytes / seconds;
	sight->sent_max_s =
	    MAX(sight->sent_max_s, (double)daemon->sent / seconds);
	sight->sent_bytes_max_s =
	    MAX(sight->sent_bytes_max_s, (double)daemon->sent_bytes / seconds);
}

static void
sight_daemon(const struct model_daemon *daemon, struct model_stats *sight)
{
	const struct mesh *mesh = &daemon->mesh;
	unsigned living = 1 + mesh_count_alive(mesh);
	uint64_t age =
	    registry_config_age(&daemon->registry, daemon->model->now_ms);

	sight->up++;
	sight->relays += mesh->relay == NULL;
	sight->alive_least = MIN(sight->alive_least, living);
	sight->alive_most = MAX(sight->alive_most, living);
	sight->readers += mesh_is_reader(mesh);
	sight->first_ranked += mesh_rank(mesh) == 0;
	sight->placer_known += mesh_placer_heard(mesh) || mesh->self.placer;
	sight->config_age_max_ms = MAX(sight->config_age_max_ms, age);
	sight->feed_age_max_ms = MAX(sight->feed_age_max_ms,
	    daemon->model->now_ms - daemon->registry.endpoints.peer_update_ms);
}

/**
 * fleet_model_measure() - compare the daemons' pictures with the truth.
 * @model: the model
 * @sight: filled in
 */
void
fleet_model_measure(const struct fleet_model *model, struct model_stats *sight)
{
	double seconds =
	    (double)MAX(model->now_ms - model->counted_ms, 1) / 1000;
	GArray *truth = model_truth(model);

	memset(sight, 0, sizeof *sight);
	sight->alive_least = UINT32_MAX;
	for (unsigned i = 0; i < model->n; i++) {
		if (!model->daemons[i].up)
			continue;
		sight_daemon(&model->daemons[i], sight);
		sight_off(&model->daemons[i], truth, sight);
		sight_counts(&model->daemons[i], seconds, sight);
	}
	g_array_free(truth, TRUE);
	if (sight->up == 0)
		return;
	sight->load_error_mean /=
	    (double)sight->up * MAX(model->n_endpoints, 1);
	sight->sent_s /= sight->up;
	sight->received_s /= sight->up;
	sight->received_bytes_s /= sight->up;
}
