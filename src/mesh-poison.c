/* Exchange of what is suspected of crashing endpoints. */
#include "event-log.h"
#include "fwd-fingerprint.h"
#include "mesh.h"

/* A change is sent in every datagram for this long, so that some may be lost. A
 * daemon that starts is sent everything for as long. A relay sends less often.
 */
#define CHANGE_SEND_MS 300
#define RELAY_CHANGE_SEND_MS 600
/* Unchanged requests are repeated at this interval, in rotation. A request with
 * a single crash is repeated only for SINGLE_REPEAT_MS: it is most often a
 * bystander, which ran at an endpoint that another request crashed. */
#define REPEAT_INTERVAL_MS 1000
#define REPEAT_MAX 8
#define SINGLE_REPEAT_MS 60000

/* How long a change is sent in every datagram. */
static uint64_t
change_send_ms(const struct mesh *mesh)
{
	return (mesh->relay != NULL || mesh_flat(mesh) ? CHANGE_SEND_MS :
							 RELAY_CHANGE_SEND_MS);
}

/* Whether a datagram of a kind carries what is known from an origin: the
 * receivers get the rest from others. */
static bool
origin_sent(enum mesh_kind kind, enum poison_origin origin)
{
	switch (kind) {
	case MESH_REPORT:
		return (origin == POISON_LOCAL);
	case MESH_CELL_SUMMARY:
		return (origin != POISON_REMOTE);
	default:
		return (true);
	}
}

/* Whether all that is sent of a request fits. */
static bool
has_room(const struct mesh_message *msg, unsigned max,
    const struct poison_suspect *suspect)
{
	return (msg->n_poison + MAX(suspect->n_crashes, 1) <= max);
}

/* Adds an item to a datagram, marked as cleared. */
static struct mesh_poison *
message_add(struct mesh_message *msg, const struct poison_suspect *suspect,
    uint64_t age_ms)
{
	struct mesh_poison *item = &msg->poison[msg->n_poison++];

	item->fingerprint = suspect->fingerprint;
	item->part = suspect->part;
	item->id_hash = 0;
	item->started = 0;
	item->age_ms = (uint32_t)MIN(age_ms, UINT32_MAX);
	item->kind = MESH_POISON_CLEARED;
	return (item);
}

/* Adds the crashes of a request that a datagram of this kind carries, or that
 * the request was cleared. */
static void
suspect_fill(const struct mesh *mesh, const struct poison_suspect *suspect,
    bool all, struct mesh_message *msg)
{
	for (unsigned i = 0; i < suspect->n_crashes; i++) {
		const struct poison_crash *crash = &suspect->crashes[i];
		struct mesh_poison *item;

		if (!poison_crash_told(&mesh->registry->fleet, suspect,
			crash) ||
		    (!all && !origin_sent(msg->kind, crash->origin)))
			continue;
		item = message_add(msg, suspect,
		    mesh->now_ms - MIN(crash->at_ms, mesh->now_ms));
		item->id_hash = crash->id_hash;
		item->started = crash->started;
		item->kind =
		    crash->silent ? MESH_POISON_SILENT : MESH_POISON_BROKEN;
	}
	if (suspect->n_crashes == 0 && suspect->cleared_ms != 0 &&
	    origin_sent(msg->kind, suspect->cleared_origin))
		message_add(msg, suspect, mesh->now_ms - suspect->cleared_ms);
}

/* Adds the requests that changed recently, or all, whose number of crashes is
 * within bounds. */
static void
fill_changed(const struct mesh *mesh, struct mesh_message *msg, bool all,
    unsigned min, unsigned max)
{
	const struct poison_suspect *suspect;

	TAILQ_FOREACH(suspect, &mesh->registry->poison.suspects, entry) {
		if (suspect->n_crashes < min || suspect->n_crashes > max ||
		    (!all &&
			mesh->now_ms - suspect->changed_ms >=
			    change_send_ms(mesh)))
			continue;
		if (!has_room(msg, MESH_POISON_MAX, suspect))
			return;
		suspect_fill(mesh, suspect, all, msg);
	}
}

/* Whether a request is still repeated although it has not changed recently. */
static bool
still_repeated(const struct mesh *mesh, const struct poison_suspect *suspect)
{
	uint64_t since = mesh->now_ms - suspect->changed_ms;

	if (since < change_send_ms(mesh) || suspect->n_crashes == 0)
		return (false);
	return (suspect->n_crashes > 1 || since < SINGLE_REPEAT_MS);
}

/* Adds the next few of the unchanged requests. */
static void
fill_repeated(struct mesh *mesh, struct mesh_message *msg)
{
	unsigned *next = &mesh->poison_next[msg->kind];
	unsigned max = MIN(msg->n_poison + REPEAT_MAX, MESH_POISON_MAX);
	const struct poison_suspect *suspect;
	unsigned index = 0;

	TAILQ_FOREACH(suspect, &mesh->registry->poison.suspects, entry) {
		if (!still_repeated(mesh, suspect))
			continue;
		if (!has_room(msg, max, suspect))
			return;
		if (index++ < *next)
			continue;
		suspect_fill(mesh, suspect, true, msg);
		*next = index;
	}
	*next = 0;
}

/**
 * mesh_fill_poison() - add suspected requests to a datagram.
 * @mesh: the mesh
 * @msg: the datagram; its kind is set
 *
 * Suspects with several crashes go first, then those that were cleared: most of
 * those with one crash are bystanders.
 */
void
mesh_fill_poison(struct mesh *mesh, struct mesh_message *msg)
{
	uint64_t *sent_ms = &mesh->poison_sent_ms[msg->kind];
	bool all = mesh->newcomer_ms != 0 &&
	    mesh->now_ms - mesh->newcomer_ms < RELAY_CHANGE_SEND_MS;

	poison_judge(&mesh->registry->poison, &mesh->registry->fleet,
	    mesh->now_ms);
	fill_changed(mesh, msg, all, 2, POISON_CRASHES_MAX);
	fill_changed(mesh, msg, all, 0, 0);
	fill_changed(mesh, msg, all, 1, 1);
	if (all ||
	    (*sent_ms != 0 && mesh->now_ms - *sent_ms < REPEAT_INTERVAL_MS))
		return;
	*sent_ms = mesh->now_ms;
	fill_repeated(mesh, msg);
}

/* Log level of a line about a suspected request. */
static int
log_level(const struct poison *poison, const struct mesh_poison *item)
{
	const struct poison_suspect *suspect =
	    poison_find(poison, item->fingerprint);

	return (
	    suspect != NULL && suspect->n_crashes > 1 ? LOG_INFO : LOG_DEBUG);
}

/* Merges what a datagram says of a suspected request; returns whether it
 * changed what is known here. */
static bool
apply_poison(struct mesh *mesh, const struct mesh_peer *peer,
    enum poison_origin origin, const struct mesh_poison *item)
{
	struct poison *poison = &mesh->registry->poison;
	uint64_t now = mesh->now_ms, at_ms = now - MIN(item->age_ms, now - 1);
	const struct poison_key key = { item->fingerprint, item->part };
	const struct poison_crash crash = {
		.id_hash = item->id_hash,
		.started = item->started,
		.at_ms = at_ms,
		.silent = item->kind == MESH_POISON_SILENT,
		.origin = origin,
	};
	bool cleared = item->kind == MESH_POISON_CLEARED;
	bool changed = cleared ?
	    poison_clear(poison, item->fingerprint, at_ms, origin, now) :
	    poison_add_crash(poison, &key, &crash, now);

	/* Most requests with a single crash are bystanders, and there are many.
	 */
	if (changed)
		event_log(log_level(poison, item), "work_told",
		    "work=%08x part=%d sign=%s endpoint_hash=%08x "
		    "started=%08x age_ms=%u peer=%s",
		    FINGERPRINT_SHORT(item->fingerprint), item->part,
		    cleared	     ? "cleared" :
			crash.silent ? "silent" :
				       "broken",
		    item->id_hash, item->started, item->age_ms, peer->name);
	return (changed);
}

/**
 * mesh_apply_poison() - merge the suspected requests of a received datagram.
 * @mesh: the mesh
 * @peer: its sender
 * @msg: the datagram
 */
void
mesh_apply_poison(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	enum poison_origin origin =
	    msg->kind == MESH_REPORT ? POISON_CELL : POISON_REMOTE;
	bool changed = false;

	for (uint32_t i = 0; i < msg->n_poison; i++)
		changed |= apply_poison(mesh, peer, origin, &msg->poison[i]);
	/* A relay forwards changes at once. */
	if (changed && mesh->relay == NULL && !mesh_flat(mesh))
		mesh_send(mesh);
}
