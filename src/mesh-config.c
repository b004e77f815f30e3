/* Fetching a newer configuration from a peer. */
#include <string.h>

#include "deflate.h"
#include "event-log.h"
#include "mesh.h"
#include "net-call.h"
#include "random-sample.h"
#include "random.h"

/* A fetch from a peer ends when nothing has arrived for so long. */
#define FETCH_SILENCE_MS 600
/* The same while more of it arrives. */
#define FETCH_TIMEOUT_MS 5000
/* A newer configuration is not fetched across failure domains until this time
 * has passed: traffic between failure domains is billed, and the wait is short
 * against the bound within which a configuration must be in force. */
#define OTHER_DOMAIN_WAIT_MS 200
/* A relay lists its members at least this often. */
#define LISTED_MS 2500
/* During the first SPREAD_MS, one in this many received datagrams leads to a
 * fetch. */
#define SPREAD_MS 400
#define FETCH_ONE_IN 4
/* After this time the store is polled as well. */
#define STORE_AFTER_MS 800

/* Logs which version was fetched, and which one was announced. */
static void
log_fetched(const struct mesh *mesh)
{
	event_log(LOG_INFO, "config_fetched",
	    "version=%lld announced=%lld offset=%llu proof_age_ms=%lld",
	    (long long)mesh->registry->catalog->version,
	    (long long)mesh->fetched_version,
	    (unsigned long long)mesh->fetched_offset,
	    mesh->fetched_proof_ms != 0 ?
		(long long)(mesh->now_ms - mesh->fetched_proof_ms) :
		-1LL);
}

/**
 * mesh_config_fetched() - put a fetched configuration in force if it is newer,
 * with the peer's proof that it is the newest.
 * @mesh: the mesh
 * @bytes: the configuration as encoded in the store
 * @length: length of @bytes
 *
 * The peer that served it may not have had the announced one yet. Then the
 * proof does not hold, and only what was read here before is known to be older.
 */
void
mesh_config_fetched(struct mesh *mesh, const void *bytes, size_t length)
{
	struct registry *registry = mesh->registry;
	struct topic_follower *f = &registry->config;
	struct catalog *fetched = registry_decode_config(registry, bytes,
	    length, mesh->fetched_offset);
	uint64_t next = mesh->fetched_offset + 1;
	uint64_t proof_ms = mesh->fetched_proof_ms;

	if (fetched == NULL)
		return;
	if (fetched->version < mesh->fetched_version) {
		next = MAX(f->next, 1);
		proof_ms = 0;
	}
	fetched->offset = next - 1;
	registry_set_config(registry, fetched, bytes, length);
	log_fetched(mesh);
	if (f->held)
		topic_follower_adopt(f, next, proof_ms);
	topic_follower_skip(f, next);
	registry_note_proof(registry, proof_ms, mesh->now_ms);
}

/* Ends a fetch that brought no configuration. */
static void
fetch_failed(struct mesh *mesh, unsigned status)
{
	event_log(LOG_INFO, "config_not_fetched", "status=%u plain=%d", status,
	    mesh->fetch_plain);
	/* A daemon of an earlier version serves it as it is. */
	mesh->fetch_plain = status == HTTP_STATUS_NOT_FOUND;
}

static void
on_fetched(void *arg, const struct net_response *response)
{
	const GByteArray *body = response->body;
	g_autoptr(GBytes) bytes = NULL;
	struct mesh *mesh = arg;

	mesh->fetching_config = false;
	if (response->status == HTTP_STATUS_OK)
		bytes = mesh->fetch_plain ?
		    g_bytes_new(body->data, body->len) :
		    deflate_unpack(body->data, body->len,
			NET_CALL_RESPONSE_MAX_BYTES);
	if (bytes == NULL) {
		fetch_failed(mesh, response->status);
		return;
	}
	mesh->fetch_plain = false;
	mesh_config_fetched(mesh, g_bytes_get_data(bytes, NULL),
	    g_bytes_get_size(bytes));
}

/*
 * Chooses the peer to fetch from: the one that was heard, or one of those that
 * it lists as having the same version, so that a relay does not serve its whole
 * cell.
 */
static struct mesh_peer *
config_source(const struct mesh *mesh, struct mesh_peer *peer)
{
	struct random_sample sample = { .max = 1 };
	struct mesh_peer *other, *source = peer;

	if (peer != mesh->relay)
		return (peer);
	random_sample_place(&sample);
	TAILQ_FOREACH(other, &mesh->peers, entry) {
		if (other->config_current &&
		    mesh->now_ms - other->listed_ms < LISTED_MS &&
		    random_sample_place(&sample) < sample.max)
			source = other;
	}
	return (source);
}

/*
 * Whether to fetch a newer configuration now. A relay fetches at once, since
 * its whole cell waits for it. A daemon that has no configuration can't serve
 * and fetches without asking this.
 */
static bool
fetch_due(const struct mesh *mesh, const struct mesh_peer *peer)
{
	uint64_t behind = mesh->now_ms - mesh->behind_since_ms;

	if (mesh->relay == NULL && !mesh_flat(mesh))
		return (true);
	if (strcmp(peer->domain, mesh->domain) != 0 &&
	    behind < OTHER_DOMAIN_WAIT_MS)
		return (false);
	/* Spread over time: daemons that have fetched it share the load of
	 * serving it with the one that had it first. */
	return (behind >= SPREAD_MS || random_below(FETCH_ONE_IN) == 0);
}

/**
 * mesh_fetch_config() - fetch a peer's configuration if it is newer.
 * @mesh: the mesh
 * @peer: the peer that was just heard
 */
void
mesh_fetch_config(struct mesh *mesh, struct mesh_peer *peer)
{
	const struct catalog *catalog = mesh->registry->catalog;
	const struct net_request req = { .method = "GET",
		.target = mesh->fetch_plain ? MESH_CONFIG_PATH :
					      MESH_CONFIG_PACKED_PATH,
		.silence_ms = FETCH_SILENCE_MS };
	int64_t own = catalog != NULL ? catalog->version : -1;
	struct mesh_peer *source;
	uint64_t now = mesh->now_ms;

	mesh->newest_version = MAX(mesh->newest_version, peer->config_version);
	if (mesh->newest_version <= own)
		mesh->behind_since_ms = 0;
	else if (mesh->behind_since_ms == 0)
		mesh->behind_since_ms = now;
	if (peer->config_version <= own)
		return;
	if (mesh->fetching_config || (own >= 0 && !fetch_due(mesh, peer)))
		return;
	if (now - mesh->behind_since_ms >= STORE_AFTER_MS)
		topic_follower_poll(&mesh->registry->config);
	mesh->fetched_version = peer->config_version;
	mesh->fetched_offset = peer->config_offset;
	mesh->fetched_proof_ms = peer->config_proof_ms;
	source = config_source(mesh, peer);
	event_log(LOG_INFO, "config_fetch", "peer=%s version=%lld own=%lld",
	    source->name, (long long)peer->config_version, (long long)own);
	mesh->fetching_config = net_call_start(&source->pool, &req,
				    FETCH_TIMEOUT_MS, on_fetched, mesh) != NULL;
}
