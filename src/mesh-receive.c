/* What a datagram of another daemon changes. */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/* How long a warning of an endpoint counts. */
#define AVOID_MS 1500
/* Words of a relay that may be missing before it counts as replaced. */
#define OLD_RELAY_GAPS 2
/* Until a daemon knows the fleet's size from its relays: some of their words.
 */
#define BEGIN_MS 5000
/* A warning that comes back to the daemon that gave it is no other one. */
#define AVOID_ECHO_MS 300

/*
 * A peer's proof that its configuration is the newest: it answered a question
 * that left here at some time, so the proof is of that time less its age
 * there. The time that the answer took can only make it younger than that.
 */
static uint64_t
proof_ms(const struct mesh_message *news, uint64_t asked_ms)
{
	if (asked_ms == 0 || news->config_age_ms == MESH_NEVER ||
	    news->config_age_ms >= asked_ms)
		return (0);
	return (asked_ms - news->config_age_ms);
}

/*
 * Takes a peer's proof that its configuration was the newest at some time. Of
 * the same version or a newer one here it says as much: nothing that was
 * changed until then is missing.
 */
static void
take_proof(struct mesh *mesh, const struct mesh_peer *peer)
{
	struct registry *registry = mesh->registry;

	if (registry->catalog == NULL || peer->config_proof_ms == 0 ||
	    peer->config_version > registry->catalog->version)
		return;
	registry->peer_proof_ms =
	    MAX(registry->peer_proof_ms, peer->config_proof_ms);
	topic_follower_set_updated(&registry->config, peer->config_proof_ms);
}

/* Sends no new work to what a peer warns of; true where that is new. */
static bool
take_avoid(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_avoid *avoid)
{
	uint64_t now = mesh->now_ms, at = now - MIN(avoid->age_ms, now);
	struct endpoint *ep =
	    fleet_find_by_hash(&mesh->registry->fleet, avoid->id_hash);
	bool first;

	if (ep == NULL || at <= ep->avoided_ms ||
	    (ep->warned_ms != 0 && at <= ep->warned_ms + AVOID_ECHO_MS))
		return (false);
	first = ep->avoided_ms == 0 || now - ep->avoided_ms >= AVOID_MS;
	ep->avoided_ms = at;
	ep->cooldown_until_ms = MAX(ep->cooldown_until_ms, at + AVOID_MS);
	if (!first)
		return (false);
	event_log(LOG_INFO, "endpoint_avoided", "endpoint=%s peer=%s age_ms=%u",
	    ep->report.id, peer->name, avoid->age_ms);
	if (mesh->avoided != NULL)
		mesh->avoided(mesh->avoided_arg, ep);
	return (true);
}

/* Takes all warnings; a relay tells new ones on at once. */
static void
take_avoids(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_message *news)
{
	bool fresh = false;

	for (uint32_t i = 0; i < news->n_avoid; i++)
		fresh |= take_avoid(mesh, peer, &news->avoid[i]);
	if (fresh && mesh->relay == NULL && !mesh_flat(mesh))
		mesh_send(mesh);
}

/* Names the own relay to one that took this daemon for it. */
static void
point(struct mesh *mesh, struct mesh_peer *peer)
{
	if (mesh->relay != NULL && mesh->relay != peer)
		mesh_send_to(mesh, peer, MESH_REDIRECT);
}

static void
take_report(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *news)
{
	bool known = mesh_peer_reports(mesh, peer);

	/* At first the others know more of the fleet's size. */
	if (mesh->now_ms - mesh->opened_ms < BEGIN_MS &&
	    strcmp(peer->domain, mesh->domain) == 0)
		mesh->cells_heard_ms = mesh->now_ms;
	peer->last_report_ms = mesh->now_ms;
	if (mesh->relay != NULL) {
		point(mesh, peer);
		return;
	}
	if (!known && mesh_peer_in_cell(mesh, peer))
		event_log(LOG_INFO, "peer_reports", "peer=%s life=%llx",
		    peer->name, (unsigned long long)news->incarnation);
	mesh_add_loads(mesh, peer, news, mesh_peer_in_cell(mesh, peer));
	/* One that starts waits for what is known here. */
	if (!known && mesh_peer_in_cell(mesh, peer))
		mesh_send_to(mesh, peer, MESH_FLEET_SUMMARY);
}

/* The relay that a peer names becomes known, and worth a word. */
static void
take_pointer(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_relay *relay)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct mesh_peer *named = mesh_find(mesh, relay->name);

	if (relay->name[0] == '\0' || strcmp(relay->name, mesh->name) == 0)
		return;
	/* In the own cell a relay that is known shows by its own words, and its
	 * silence counts for more than what others have not noticed yet. */
	if (named != NULL && mesh_peer_in_cell(mesh, named))
		return;
	addr.sin_addr.s_addr = relay->ip;
	addr.sin_port = htons(relay->port);
	named =
	    mesh_add(mesh, relay->name, peer->domain, relay->capacity, &addr);
	if (named != NULL)
		named->redirected_ms = mesh->now_ms;
}

/* A cell whose new relay speaks is no longer spoken for by the old one, unless
 * that goes on; its words would count twice. */
static void
drop_old_relays(struct mesh *mesh, const struct mesh_peer *peer)
{
	struct mesh_peer *other;

	TAILQ_FOREACH(other, &mesh->peers, entry) {
		double quiet = (double)(mesh->now_ms - other->relay_heard_ms);

		if (other == peer || other->relay_heard_ms == 0 ||
		    strcmp(other->domain, peer->domain) != 0 ||
		    quiet <=
			OLD_RELAY_GAPS * other->relay_gap_ms + MESH_ROUND_MS)
			continue;
		other->relay_heard_ms = 0;
		mesh_remove_loads(mesh, other);
	}
}

static void
take_cell(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *news)
{
	mesh_peer_note_relay(mesh, peer);
	if (mesh->relay != NULL) {
		point(mesh, peer);
		return;
	}
	if (!mesh_flat(mesh))
		drop_old_relays(mesh, peer);
	mesh_add_loads(mesh, peer, news, false);
}

/* Notes which daemons of the cell live, and which could give a configuration.
 */
static void
take_members(struct mesh *mesh, const struct mesh_message *news)
{
	for (uint32_t i = 0; i < news->n_members; i++) {
		struct mesh_peer *peer =
		    mesh_find_by_hash(mesh, news->members[i].name_hash);

		if (peer == NULL)
			continue;
		peer->listed_ms = mesh->now_ms;
		peer->config_current = news->members[i].config_current;
	}
}

/* Notes who else belongs to the own cell. */
static void
take_cell_keys(struct mesh *mesh, const struct mesh_peer *relay,
    const struct mesh_message *news)
{
	mesh->n_cell_hashes = 0;
	mesh->cell_hashes[mesh->n_cell_hashes++] = relay->name_hash;
	for (uint32_t i = 0;
	     i < news->n_members && mesh->n_cell_hashes < MESH_MEMBERS_MAX;
	     i++) {
		if (news->members[i].name_hash != mesh->name_hash)
			mesh->cell_hashes[mesh->n_cell_hashes++] =
			    news->members[i].name_hash;
	}
}

static void
take_fleet(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *news)
{
	const struct mesh_report *told = mesh_acked_report(mesh, news);

	if (strcmp(peer->domain, mesh->domain) != 0)
		return;
	mesh->cells_heard_ms = mesh->now_ms;
	mesh_peer_note_relay(mesh, peer);
	take_members(mesh, news);
	if (told != NULL)
		peer->config_proof_ms = proof_ms(news, told->sent_ms);
	if (peer != mesh->relay)
		return;
	take_cell_keys(mesh, peer, news);
	mesh_set_fleet_loads(mesh, peer, news);
}

/* A line for each change of what is believed of a daemon. */
static void
log_change(const struct mesh_peer *peer, const struct mesh_message *news)
{
	if (peer->incarnation == news->incarnation &&
	    peer->self.placer == news->self.placer &&
	    peer->self.leaving == news->self.leaving)
		return;
	event_log(LOG_INFO, "peer_changed",
	    "peer=%s life=%llx placer=%d term=%lld leaving=%d store_ok=%d",
	    peer->name, (unsigned long long)news->incarnation,
	    news->self.placer, (long long)news->self.term, news->self.leaving,
	    news->self.store_ok);
}

/* Notes what a peer says of itself. */
static void
take_self(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *news)
{
	log_change(peer, news);
	if (peer->incarnation != news->incarnation)
		mesh->newcomer_ms = mesh->now_ms;
	peer->incarnation = news->incarnation;
	peer->sequence = news->sequence;
	peer->ping = news->ping;
	peer->self = news->self;
	peer->n_alive = news->n_alive;
	peer->config_version = news->config_version;
	peer->config_offset = news->config_offset;
	peer->config_proof_ms = proof_ms(news, news->pong);
	peer->heard_ms = mesh->now_ms;
	mesh->self.term = MAX(mesh->self.term, news->self.term);
	mesh_update_holder(mesh, news);
}

/* What the kind of a datagram says. */
static void
take_kind(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *news)
{
	switch (news->kind) {
	case MESH_REPORT:
		take_report(mesh, peer, news);
		break;
	case MESH_REDIRECT:
		take_pointer(mesh, peer, &news->relay);
		break;
	case MESH_CELL_SUMMARY:
		take_cell(mesh, peer, news);
		break;
	case MESH_FLEET_SUMMARY:
		take_fleet(mesh, peer, news);
		break;
	}
}

/**
 * mesh_receive() - take in a datagram.
 * @mesh: the mesh
 * @in: the datagram
 * @length: its length
 * @from: where it came from
 */
void
mesh_receive(struct mesh *mesh, char *in, size_t length,
    const struct sockaddr_in *from)
{
	static struct mesh_message news;
	struct mesh_peer *peer;

	if (mesh_receive_entries(mesh, in, length, from))
		return;
	if (!mesh_message_decode(&news, in, length)) {
		event_log(LOG_WARNING, "peer_news_ignored",
		    "bytes=%zu reason=format", length);
		return;
	}
	peer = mesh_add(mesh, news.name, news.domain, news.capacity, from);
	/* Datagrams may overtake each other, and may come twice. */
	if (peer == NULL ||
	    (peer->incarnation == news.incarnation &&
		news.sequence <= peer->sequence))
		return;
	take_self(mesh, peer, &news);
	take_kind(mesh, peer, &news);
	take_proof(mesh, peer);
	mesh_fetch_config(mesh, peer);
	take_avoids(mesh, peer, &news);
	mesh_apply_limits(mesh, peer, &news);
	mesh_apply_poison(mesh, peer, &news);
	mesh_fetch_entries(mesh, peer, news.entries_end);
	mesh_feed_check(mesh, peer, news.entries_end);
}
