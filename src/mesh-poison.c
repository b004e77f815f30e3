/* Work that is suspected of ending endpoints: who is told, and what is taken.
 */
#include "event-log.h"
#include "fwd-fingerprint.h"
#include "mesh.h"

/* What is new is told in every datagram for so long, so that some may be lost,
 * and to a daemon that starts all is. A relay tells less often. */
#define NEWS_MS 300
#define RELAY_NEWS_MS 600
/* Some of the rest are told this often, in turn; a single end, which is a
 * bystander's most often, only for a while. */
#define AGAIN_MS 1000
#define AGAIN_MOST 8
#define SINGLE_TOLD_MS 60000

static uint64_t
news_ms(const struct mesh *mesh)
{
	return (
	    mesh->relay != NULL || mesh_flat(mesh) ? NEWS_MS : RELAY_NEWS_MS);
}

/* Whether a datagram of a kind tells what is known from there: others tell the
 * rest to those who get it. */
static bool
reach_told(enum mesh_kind kind, enum poison_origin reach)
{
	switch (kind) {
	case MESH_REPORT:
		return (reach == POISON_LOCAL);
	case MESH_CELL_SUMMARY:
		return (reach != POISON_REMOTE);
	default:
		return (true);
	}
}

/* Whether there is room for all that is told of some work. */
static bool
has_room(const struct mesh_message *news, unsigned most,
    const struct poison_request *w)
{
	return (news->n_poison + MAX(w->n_crashes, 1) <= most);
}

static struct mesh_poison *
news_add(struct mesh_message *news, uint64_t work, uint64_t age_ms)
{
	struct mesh_poison *told = &news->poison[news->n_poison++];

	told->fingerprint = work;
	told->id_hash = 0;
	told->started = 0;
	told->age_ms = (uint32_t)MIN(age_ms, UINT32_MAX);
	told->kind = MESH_POISON_CLEARED;
	return (told);
}

/* Tells the ends of some work that are of a reach, or that it was cleared. */
static void
work_fill(const struct mesh *mesh, const struct poison_request *w, bool all,
    struct mesh_message *news)
{
	for (unsigned i = 0; i < w->n_crashes; i++) {
		const struct poison_crash *end = &w->crashes[i];
		struct mesh_poison *told;

		if (!all && !reach_told(news->kind, end->origin))
			continue;
		told = news_add(news, w->fingerprint,
		    mesh->now_ms - MIN(end->at_ms, mesh->now_ms));
		told->id_hash = end->id_hash;
		told->started = end->started;
		told->kind =
		    end->silent ? MESH_POISON_SILENT : MESH_POISON_BROKEN;
	}
	if (w->n_crashes == 0 && w->cleared_ms != 0 &&
	    reach_told(news->kind, w->cleared_origin))
		news_add(news, w->fingerprint, mesh->now_ms - w->cleared_ms);
}

/* Tells of what changed lately, or of all, if it has ends enough. */
static void
fill_news(const struct mesh *mesh, struct mesh_message *news, bool all,
    unsigned least, unsigned most)
{
	const struct poison_request *w;

	TAILQ_FOREACH(w, &mesh->registry->poison.requests, entry) {
		if (w->n_crashes < least || w->n_crashes > most ||
		    (!all && mesh->now_ms - w->changed_ms >= news_ms(mesh)))
			continue;
		if (!has_room(news, MESH_POISON_MAX, w))
			return;
		work_fill(mesh, w, all, news);
	}
}

/* Whether some work is told of long after it changed. */
static bool
told_again(const struct mesh *mesh, const struct poison_request *w)
{
	uint64_t since = mesh->now_ms - w->changed_ms;

	if (since < news_ms(mesh) || w->n_crashes == 0)
		return (false);
	return (w->n_crashes > 1 || since < SINGLE_TOLD_MS);
}

/* Tells of some of the others, in turn. */
static void
fill_again(struct mesh *mesh, struct mesh_message *news)
{
	unsigned *next = &mesh->poison_next[news->kind];
	unsigned most = MIN(news->n_poison + AGAIN_MOST, MESH_POISON_MAX);
	const struct poison_request *w;
	unsigned at = 0;

	TAILQ_FOREACH(w, &mesh->registry->poison.requests, entry) {
		if (!told_again(mesh, w))
			continue;
		if (!has_room(news, most, w))
			return;
		if (at++ < *next)
			continue;
		work_fill(mesh, w, true, news);
		*next = at;
	}
	*next = 0;
}

/**
 * mesh_fill_poison() - the suspected work that a datagram tells of.
 * @mesh: the mesh
 * @news: the datagram; its kind is set
 *
 * What has ended several endpoints goes first: of what has ended one, most is
 * innocent.
 */
void
mesh_fill_poison(struct mesh *mesh, struct mesh_message *news)
{
	uint64_t *told_ms = &mesh->poison_sent_ms[news->kind];
	bool all = mesh->newcomer_ms != 0 &&
	    mesh->now_ms - mesh->newcomer_ms < RELAY_NEWS_MS;

	fill_news(mesh, news, all, 2, POISON_CRASHES_MAX);
	fill_news(mesh, news, all, 0, 1);
	if (all || (*told_ms != 0 && mesh->now_ms - *told_ms < AGAIN_MS))
		return;
	*told_ms = mesh->now_ms;
	fill_again(mesh, news);
}

/* How much a line on some work matters. */
static int
told_level(const struct poison *poison, const struct mesh_poison *told)
{
	const struct poison_request *w = poison_find(poison, told->fingerprint);

	return (w != NULL && w->n_crashes > 1 ? LOG_INFO : LOG_DEBUG);
}

/* Takes what a datagram tells of some work; true where it is news. */
static bool
take_poison(struct mesh *mesh, const struct mesh_peer *peer,
    enum poison_origin reach, const struct mesh_poison *told)
{
	struct poison *poison = &mesh->registry->poison;
	uint64_t now = mesh->now_ms, at = now - MIN(told->age_ms, now - 1);
	const struct poison_crash end = {
		.id_hash = told->id_hash,
		.started = told->started,
		.at_ms = at,
		.silent = told->kind == MESH_POISON_SILENT,
		.origin = reach,
	};
	bool cleared = told->kind == MESH_POISON_CLEARED;
	bool news = cleared ?
	    poison_clear(poison, told->fingerprint, at, reach, now) :
	    poison_add_crash(poison, told->fingerprint, &end, now);

	/* A single end is a bystander's most often, and there are many. */
	if (news)
		event_log(told_level(poison, told), "work_told",
		    "work=%08x sign=%s endpoint_key=%08x started=%08x "
		    "age_ms=%u peer=%s",
		    FINGERPRINT_SHORT(told->fingerprint),
		    cleared	   ? "cleared" :
			end.silent ? "silent" :
				     "broken",
		    told->id_hash, told->started, told->age_ms, peer->name);
	return (news);
}

/**
 * mesh_apply_poison() - take in what a datagram tells of suspected work.
 * @mesh: the mesh
 * @peer: its sender
 * @news: the datagram
 */
void
mesh_apply_poison(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_message *news)
{
	enum poison_origin reach =
	    news->kind == MESH_REPORT ? POISON_CELL : POISON_REMOTE;
	bool fresh = false;

	for (uint32_t i = 0; i < news->n_poison; i++)
		fresh |= take_poison(mesh, peer, reach, &news->poison[i]);
	/* A relay tells news on at once. */
	if (fresh && mesh->relay == NULL && !mesh_flat(mesh))
		mesh_send(mesh);
}
