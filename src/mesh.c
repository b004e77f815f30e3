/* The other daemons: what they say, and what they are told. */
#include <string.h>

#include "event-log.h"
#include "mesh-entries.h"
#include "mesh.h"
#include "random.h"

/* How often a daemon tells: a load is this old at the others at most. Three
 * of these are well below the shortest objective. */
#define TELL_MS 100
/* Beyond the daemons that are told in each round, about so many others. */
#define TELL_FAR 4
/* Rounds in which the daemon that reads the store tells all. */
#define READER_ROUNDS 3
/* Silence after which a peer's work is no longer counted. */
#define LOADS_OLD_MS 700
/* The same for far peers, which tell by turns. */
#define FAR_LOADS_OLD_MS 2500
/* How long a warning of an endpoint is repeated, and how long it counts. */
#define AVOID_TOLD_MS 600
#define AVOID_MS 1500
/* Dead peers are told this many times less often. */
#define DEAD_ROUNDS 20
/* Dead peers are forgotten after this; a newcomer tells of itself. */
#define PEER_FORGET_MS 60000

static char receive_buffer[MESH_BYTES];

/* Takes a peer's work out of the fleet's sums. */
static void
peer_uncount(struct mesh *mesh, struct mesh_peer *peer)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		const struct mesh_load *load =
		    &g_array_index(peer->loads, struct mesh_load, i);
		struct endpoint *ep =
		    fleet_find_key(&mesh->dir->fleet, load->key);

		if (ep == NULL)
			continue;
		ep->peer_inflight -= MIN(ep->peer_inflight, load->inflight);
		ep->peer_pending = MAX(ep->peer_pending - load->reading, 0);
	}
	g_array_set_size(peer->loads, 0);
}

/* Puts a peer's work into the fleet's sums. */
static void
peer_count(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_news *news)
{
	uint64_t now = uv_now(mesh->loop);

	for (uint32_t i = 0; i < news->n_loads; i++) {
		const struct mesh_load *load = &news->loads[i];
		struct endpoint *ep =
		    fleet_find_key(&mesh->dir->fleet, load->key);

		if (ep == NULL)
			continue;
		ep->peer_inflight += load->inflight;
		ep->peer_pending += load->reading;
		if (load->heard_ms < now)
			ep->peer_heard_ms =
			    MAX(ep->peer_heard_ms, now - load->heard_ms);
		g_array_append_vals(peer->loads, load, 1);
	}
}

static struct mesh_peer *
peer_find(const struct mesh *mesh, const char *name)
{
	struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (strcmp(peer->name, name) == 0)
			return (peer);
	}
	return (NULL);
}

/**
 * mesh_add() - learn of a daemon.
 * @mesh: the mesh
 * @name: its name
 * @domain: its failure domain
 * @addr: where it listens
 */
void
mesh_add(struct mesh *mesh, const char *name, const char *domain,
    const struct sockaddr_in *addr)
{
	struct mesh_peer *peer = peer_find(mesh, name);

	if (strcmp(name, mesh->name) == 0)
		return;
	if (peer == NULL) {
		peer = g_new0(struct mesh_peer, 1);
		peer->name = g_strdup(name);
		peer->domain = g_strdup(domain);
		peer->loads =
		    g_array_new(FALSE, FALSE, sizeof(struct mesh_load));
		peer->met_ms = uv_now(mesh->loop);
		net_pool_init(&peer->pool, mesh->loop, addr);
		TAILQ_INSERT_TAIL(&mesh->peers, peer, entry);
		mesh->n_peers++;
		event_log(LOG_INFO, "peer_known", "peer=%s domain=%s", name,
		    domain);
	}
	peer->addr = *addr;
	peer->pool.addr = *addr;
}

static void
peer_free(struct mesh *mesh, struct mesh_peer *peer)
{
	peer_uncount(mesh, peer);
	TAILQ_REMOVE(&mesh->peers, peer, entry);
	mesh->n_peers--;
	g_free(peer->name);
	g_free(peer->domain);
	g_array_free(peer->loads, TRUE);
	g_free(peer);
}

/*
 * A peer's proof that its configuration is the newest: it answered a question
 * that left here at @pong, so the proof is of @pong less its age there. The
 * time that the answer took can only make it younger than that.
 */
static uint64_t
news_proof_ms(const struct mesh_news *news)
{
	if (news->pong == 0 || news->config_age_ms == MESH_NO_PROOF ||
	    news->config_age_ms >= news->pong)
		return (0);
	return (news->pong - news->config_age_ms);
}

/* Takes a peer's proof where it has the same configuration. */
static void
peer_take_proof(struct mesh *mesh, const struct mesh_peer *peer)
{
	struct dir *dir = mesh->dir;

	if (dir->catalog == NULL || peer->config_proof_ms == 0 ||
	    peer->config_version != dir->catalog->version)
		return;
	dir->peer_proof_ms = MAX(dir->peer_proof_ms, peer->config_proof_ms);
	dir_follow_fed(&dir->config, peer->config_proof_ms);
}

/* Sends no new work to what a peer warns of. */
static void
peer_take_avoid(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_news *news)
{
	uint64_t now = uv_now(mesh->loop);

	for (uint32_t i = 0; i < news->n_avoid; i++) {
		struct endpoint *ep =
		    fleet_find_key(&mesh->dir->fleet, news->avoid[i]);

		if (ep == NULL)
			continue;
		if (now - ep->avoided_ms >= AVOID_MS) {
			event_log(LOG_INFO, "endpoint_avoided",
			    "endpoint=%s peer=%s", ep->report.id, peer->name);
			if (mesh->avoided != NULL)
				mesh->avoided(mesh->avoided_arg, ep);
		}
		ep->avoided_ms = now;
		ep->rest_until_ms = MAX(ep->rest_until_ms, now + AVOID_MS);
	}
}

/* Notes what a peer says of itself, with a line for each change. */
static void
peer_take(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_news *news)
{
	bool lived = mesh_peer_lives(mesh, peer);

	if (!lived || peer->self.placer != news->self.placer ||
	    peer->self.leaving != news->self.leaving)
		event_log(LOG_INFO, "peer_changed",
		    "peer=%s life=%llx placer=%d term=%lld leaving=%d "
		    "store_ok=%d",
		    peer->name, (unsigned long long)news->life,
		    news->self.placer, (long long)news->self.term,
		    news->self.leaving, news->self.store_ok);
	peer->life = news->life;
	peer->sequence = news->sequence;
	peer->ping = news->ping;
	peer->self = news->self;
	peer->config_version = news->config_version;
	peer->config_offset = news->config_offset;
	peer->config_proof_ms = news_proof_ms(news);
	peer->heard_ms = uv_now(mesh->loop);
	mesh->self.term = MAX(mesh->self.term, news->self.term);
	peer_uncount(mesh, peer);
	peer_count(mesh, peer, news);
	peer_take_proof(mesh, peer);
	mesh_fetch_config(mesh, peer);
	peer_take_avoid(mesh, peer, news);
}

static void
on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
	*buf = uv_buf_init(receive_buffer, sizeof receive_buffer);
}

/* Takes in entries that a peer read; false where it is another datagram. */
static bool
mesh_take_entries(struct mesh *mesh, char *in, size_t length)
{
	struct mesh_entries entries;
	bool ok = mesh_entries_decode(&entries, in, length);

	if (ok && strcmp(entries.name, mesh->name) != 0 &&
	    !dir_feed_endpoints(mesh->dir, entries.from, entries.end,
		entries.records, entries.returned_ms))
		event_log(LOG_INFO, "entries_missed",
		    "peer=%s from=%llu next=%llu", entries.name,
		    (unsigned long long)entries.from,
		    (unsigned long long)mesh->dir->endpoints.next);
	g_array_free(entries.records, TRUE);
	return (ok);
}

static void
on_receive(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned flags)
{
	struct mesh *mesh = udp->data;
	static struct mesh_news news;
	struct mesh_peer *peer;

	if (n <= 0 || from == NULL)
		return;
	if (mesh_take_entries(mesh, buf->base, (size_t)n))
		return;
	if (!mesh_news_decode(&news, buf->base, (size_t)n)) {
		event_log(LOG_WARNING, "peer_news_ignored",
		    "bytes=%zd reason=format", n);
		return;
	}
	mesh_add(mesh, news.name, news.domain,
	    (const struct sockaddr_in *)(const void *)from);
	peer = peer_find(mesh, news.name);
	if (peer == NULL)
		return;
	/* Datagrams may overtake each other. */
	if (peer->life == news.life && news.sequence <= peer->sequence)
		return;
	peer_take(mesh, peer, &news);
}

/* What this daemon says, but for what differs by receiver. */
static void
news_fill(struct mesh *mesh, struct mesh_news *news)
{
	const struct dir *dir = mesh->dir;
	uint64_t now;
	/* A proof by a peer's word is as good as an own one, and as old. */
	uint64_t age;
	struct endpoint *ep;

	/* An age must not be told as less than it is, also where this loop's
	 * round takes long or the process stood still in it. */
	uv_update_time(mesh->loop);
	now = uv_now(mesh->loop);
	age = dir_config_age(dir, now);
	memset(news, 0, offsetof(struct mesh_news, loads));
	g_strlcpy(news->name, mesh->name, sizeof news->name);
	g_strlcpy(news->domain, mesh->domain, sizeof news->domain);
	news->life = mesh->life;
	news->sequence = ++mesh->sequence;
	news->ping = now;
	news->self = mesh->self;
	news->config_version =
	    dir->catalog != NULL ? dir->catalog->version : -1;
	news->config_offset = dir->catalog != NULL ? dir->catalog->offset : 0;
	news->config_age_ms =
	    age < MESH_NO_PROOF ? (uint32_t)age : MESH_NO_PROOF;
	news->n_loads = 0;
	news->n_avoid = 0;
	TAILQ_FOREACH(ep, &dir->fleet.endpoints, entry) {
		if (ep->warned_ms != 0 && now - ep->warned_ms < AVOID_TOLD_MS &&
		    news->n_avoid < MESH_AVOID_MAX)
			news->avoid[news->n_avoid++] = ep->key;
		if (ep->inflight == 0 || news->n_loads == MESH_LOADS_MAX)
			continue;
		news->loads[news->n_loads].key = ep->key;
		news->loads[news->n_loads].inflight = ep->inflight;
		news->loads[news->n_loads].reading = (uint32_t)ep->pending;
		news->loads[news->n_loads].heard_ms =
		    (uint32_t)MIN(now - ep->heard_ms, UINT32_MAX);
		news->n_loads++;
	}
}

static void
peer_tell(struct mesh *mesh, struct mesh_peer *peer, struct mesh_news *news)
{
	static char out[MESH_BYTES];
	uv_buf_t buf;

	news->pong = peer->ping;
	buf =
	    uv_buf_init(out, (unsigned)mesh_news_encode(news, out, sizeof out));
	/* A datagram that does not go out now is made good by the next. */
	if (buf.len > 0)
		(void)uv_udp_try_send(&mesh->udp, &buf, 1,
		    (const struct sockaddr *)&peer->addr);
}

/* Whether a peer is told in this round. */
static bool
peer_due(const struct mesh *mesh, const struct mesh_peer *peer, unsigned living)
{
	if (!mesh_peer_lives(mesh, peer))
		return (mesh->round % DEAD_ROUNDS == 0 ||
		    uv_now(mesh->loop) - peer->met_ms < MESH_PEER_DEAD_MS);
	/* What the reader knows is wanted by all. */
	if (mesh->dir->config.reader && mesh->round % READER_ROUNDS == 0)
		return (true);
	/* Near daemons send to the same endpoints first. */
	if (mesh_peer_near(mesh, peer))
		return (true);
	return (random_below(living) < TELL_FAR);
}

/* Forgets the work of the silent and, later, the silent themselves. */
static void
mesh_age(struct mesh *mesh)
{
	uint64_t now = uv_now(mesh->loop);
	struct mesh_peer *peer, *next;

	for (peer = TAILQ_FIRST(&mesh->peers); peer != NULL; peer = next) {
		uint64_t since = MAX(peer->heard_ms, peer->met_ms);

		next = TAILQ_NEXT(peer, entry);
		if (now - since >= (mesh_peer_near(mesh, peer) ?
					   LOADS_OLD_MS :
					   FAR_LOADS_OLD_MS))
			peer_uncount(mesh, peer);
		net_pool_expire(&peer->pool);
		if (now - since >= PEER_FORGET_MS && peer->pool.open == 0)
			peer_free(mesh, peer);
	}
}

/**
 * mesh_tell_now() - tell the others.
 * @mesh: the mesh
 */
void
mesh_tell_now(struct mesh *mesh)
{
	static struct mesh_news news;
	unsigned living = mesh_living(mesh);
	struct mesh_peer *peer;

	mesh->round++;
	news_fill(mesh, &news);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (peer_due(mesh, peer, living))
			peer_tell(mesh, peer, &news);
	}
	mesh_age(mesh);
}

static void
on_timer(uv_timer_t *timer)
{
	mesh_tell_now(timer->data);
}

/**
 * mesh_open() - begin to listen and tell.
 * @mesh: the mesh; dir, name and domain are filled in
 * @loop: the event loop
 * @addr: where to listen
 *
 * Return: 0, or a libuv error.
 */
int
mesh_open(struct mesh *mesh, uv_loop_t *loop, const struct sockaddr_in *addr)
{
	int rc;

	mesh->loop = loop;
	mesh->addr = *addr;
	mesh->life = random_u64();
	TAILQ_INIT(&mesh->peers);
	uv_udp_init(loop, &mesh->udp);
	uv_timer_init(loop, &mesh->timer);
	mesh->udp.data = mesh;
	mesh->timer.data = mesh;
	rc = uv_udp_bind(&mesh->udp, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&mesh->udp, on_alloc, on_receive);
	if (rc == 0)
		uv_timer_start(&mesh->timer, on_timer, TELL_MS, TELL_MS);
	return (rc);
}
