/* Membership: the daemons known, and the newest evidence that each is alive. */
#include <arpa/inet.h>
#include <string.h>
#include <xxhash.h>

#include "event-log.h"
#include "members.h"
#include "route.h"

/* A daemon is forgotten after a silence of this many times dead_ms. */
#define FORGET_FACTOR 40

/**
 * member_name_hash() - stable hash of a daemon's name.
 * @name: the name
 */
uint64_t
member_name_hash(const char *name)
{
	return (XXH64(name, strlen(name), 0));
}

/**
 * members_init() - initialize a membership of this daemon alone.
 * @ms: the members
 * @set: validated settings
 * @incarnation: identifier of this run; hashed to the number that peers get
 */
void
members_init(struct members *ms, const struct settings *set,
    const char *incarnation)
{
	g_autofree char *ip = NULL;
	uint16_t port;

	memset(ms, 0, sizeof *ms);
	g_mutex_init(&ms->lock);
	TAILQ_INIT(&ms->others);
	ms->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	ms->dead_ms = (uint64_t)set->peer_dead_ms;
	ms->self.name = g_strdup(set->name);
	ms->self.domain = g_strdup(set->domain);
	ms->self.name_hash = member_name_hash(set->name);
	ms->self.incarnation = XXH64(incarnation, strlen(incarnation), 0);
	if (setting_split_address(set->peer_address, &ip, &port)) {
		ms->self.ip = ntohl(inet_addr(ip));
		ms->self.port = port;
	}
}

static void
member_free(struct member *m)
{
	g_free(m->name);
	g_free(m->domain);
	g_free(m);
}

/**
 * members_destroy() - free the members.
 * @ms: the members
 */
void
members_destroy(struct members *ms)
{
	struct member *m;

	while ((m = TAILQ_FIRST(&ms->others)) != NULL) {
		TAILQ_REMOVE(&ms->others, m, entry);
		member_free(m);
	}
	g_hash_table_unref(ms->by_name);
	g_free(ms->self.name);
	g_free(ms->self.domain);
	g_mutex_clear(&ms->lock);
}

static struct member *
members_find(struct members *ms, const char *name)
{
	return (g_hash_table_lookup(ms->by_name, name));
}

static struct member *
members_add(struct members *ms, const struct member *update)
{
	struct member *m;

	m = g_new0(struct member, 1);
	m->name = g_strdup(update->name);
	m->domain = g_strdup(update->domain);
	m->name_hash = member_name_hash(update->name);
	TAILQ_INSERT_TAIL(&ms->others, m, entry);
	g_hash_table_insert(ms->by_name, m->name, m);
	event_log(LOG_INFO, "member_new", "member=%s domain=%s", m->name,
	    m->domain);
	return (m);
}

/**
 * members_update() - update a daemon's entry, or add it.
 * @ms: the members
 * @update: what was received of the daemon
 * @as_of_ms: local time; the daemon was alive at this time or later
 *
 * An update with older evidence than the entry's is ignored, so delayed and
 * duplicate ones do no harm.
 */
void
members_update(struct members *ms, const struct member *update,
    uint64_t as_of_ms)
{
	struct member *m;

	if (strcmp(update->name, ms->self.name) == 0)
		return;
	g_mutex_lock(&ms->lock);
	m = members_find(ms, update->name);
	if (m == NULL)
		m = members_add(ms, update);
	if (as_of_ms > m->as_of_ms) {
		m->as_of_ms = as_of_ms;
		m->ip = update->ip;
		m->port = update->port;
		m->incarnation = update->incarnation;
		m->next_offset = update->next_offset;
		m->draining = update->draining;
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * members_refresh() - update the liveness of a known daemon of this failure
 * domain.
 * @ms: the members
 * @hash: low bits of its name hash; ignored when no daemon has it
 * @draining: it is draining
 * @as_of_ms: local time; the daemon was alive at this time or later
 */
void
members_refresh(struct members *ms, uint32_t hash, bool draining,
    uint64_t as_of_ms)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		if ((uint32_t)m->name_hash != hash || as_of_ms <= m->as_of_ms)
			continue;
		m->as_of_ms = as_of_ms;
		m->draining = draining;
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * members_introduce() - add a daemon without evidence that it is alive.
 * @ms: the members
 * @update: the daemon's name, failure domain and address
 * @now: monotonic time, in ms
 *
 * A new daemon counts as dead until it answers.
 */
void
members_introduce(struct members *ms, const struct member *update, uint64_t now)
{
	struct member *m;

	if (strcmp(update->name, ms->self.name) == 0)
		return;
	g_mutex_lock(&ms->lock);
	m = members_find(ms, update->name);
	if (m == NULL) {
		m = members_add(ms, update);
		m->as_of_ms = now > ms->dead_ms ? now - ms->dead_ms : 0;
	}
	if (!member_alive(ms, m, now)) {
		m->ip = update->ip;
		m->port = update->port;
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * member_alive() - whether a daemon was alive within the last dead_ms.
 * @ms: the members
 * @m: the daemon
 * @now: monotonic time, in ms
 */
bool
member_alive(const struct members *ms, const struct member *m, uint64_t now)
{
	return (now < m->as_of_ms + ms->dead_ms);
}

/**
 * members_count_sharing() - number of daemons that share the customers'
 * limits.
 * @ms: the members
 * @now: monotonic time, in ms
 *
 * A dead daemon's share passes to the others only while another daemon of its
 * failure domain is alive: a whole domain that falls silent may be
 * partitioned and still be serving, so its daemons still count.
 */
unsigned
members_count_sharing(struct members *ms, uint64_t now)
{
	struct member *m, *other;
	unsigned n = 1;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		bool heard = strcmp(m->domain, ms->self.domain) == 0;

		TAILQ_FOREACH(other, &ms->others, entry) {
			if (strcmp(other->domain, m->domain) == 0 &&
			    member_alive(ms, other, now))
				heard = true;
		}
		if (!heard || (member_alive(ms, m, now) && !m->draining))
			n++;
	}
	g_mutex_unlock(&ms->lock);
	return (n);
}

/**
 * members_rank() - this daemon's rank for a key among the live daemons of its
 * failure domain, by rendezvous hashing.
 * @ms: the members
 * @key: the key
 * @last: name hash of a daemon that ranks last for every key, or 0
 * @now: monotonic time, in ms
 *
 * Return: 0 for the first.
 */
unsigned
members_rank(struct members *ms, uint64_t key, uint64_t last, uint64_t now)
{
	uint64_t mine = route_mix(key ^ ms->self.name_hash);
	bool self_last = ms->self.name_hash == last;
	struct member *m;
	unsigned rank = 0;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (!member_alive(ms, m, now) || m->draining ||
		    m->name_hash == last ||
		    strcmp(m->domain, ms->self.domain) != 0)
			continue;
		if (self_last || route_mix(key ^ m->name_hash) > mine)
			rank++;
	}
	g_mutex_unlock(&ms->lock);
	return (rank);
}

static bool
member_excluded(const struct member *m, const GArray *excluded)
{
	for (guint i = 0; i < excluded->len; i++) {
		if (g_array_index(excluded, uint64_t, i) == m->name_hash)
			return (true);
	}
	return (false);
}

/**
 * members_owner() - the daemon that owns a key, by rendezvous hashing.
 * @ms: the members
 * @key: the key
 * @now: monotonic time, in ms
 * @excluded: name hashes (uint64_t) of daemons that did not answer
 * @owner: set to its address and name hash
 *
 * Return: false when the owner is this daemon itself.
 */
bool
members_owner(struct members *ms, uint64_t key, uint64_t now,
    const GArray *excluded, struct member *owner)
{
	uint64_t best = route_mix(key ^ ms->self.name_hash);
	struct member *m, *found = NULL;

	g_mutex_lock(&ms->lock);
	if (ms->self.draining)
		best = 0;
	TAILQ_FOREACH(m, &ms->others, entry) {
		uint64_t weight = route_mix(key ^ m->name_hash);

		if (!member_alive(ms, m, now) || m->draining ||
		    member_excluded(m, excluded) || weight <= best)
			continue;
		best = weight;
		found = m;
	}
	if (found != NULL) {
		owner->ip = found->ip;
		owner->port = found->port;
		owner->name_hash = found->name_hash;
	}
	g_mutex_unlock(&ms->lock);
	return (found != NULL);
}

/**
 * members_most_advanced() - the live daemon that has applied the most of the
 * configuration log.
 * @ms: the members
 * @next: lower bound, exclusive, of the daemon's next offset
 * @now: monotonic time, in ms
 * @found: set to its address
 *
 * Return: false when no live daemon is beyond @next.
 */
bool
members_most_advanced(struct members *ms, uint64_t next, uint64_t now,
    struct member *found)
{
	struct member *m;
	bool any = false;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (m->next_offset <= next || !member_alive(ms, m, now))
			continue;
		next = m->next_offset;
		found->ip = m->ip;
		found->port = m->port;
		any = true;
	}
	g_mutex_unlock(&ms->lock);
	return (any);
}

/**
 * members_forget() - remove daemons that were silent for FORGET_FACTOR times
 * dead_ms.
 * @ms: the members, locked
 * @now: monotonic time, in ms
 */
void
members_forget(struct members *ms, uint64_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, ms->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *m = value;

		if (now < m->as_of_ms + ms->dead_ms * FORGET_FACTOR)
			continue;
		event_log(LOG_NOTICE, "member_forgotten", "member=%s", m->name);
		TAILQ_REMOVE(&ms->others, m, entry);
		g_hash_table_iter_remove(&iter);
		member_free(m);
	}
}
