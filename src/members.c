/* The daemons that this one knows of, and when each last proved to live. */
#include <arpa/inet.h>
#include <string.h>
#include <xxhash.h>

#include "event-log.h"
#include "members.h"
#include "route.h"

/* A daemon that was silent for this many dead times is forgotten. */
#define FORGET_FACTOR 40

/**
 * member_name_hash() - the stable hash of a daemon's name.
 * @name: its name
 */
uint64_t
member_name_hash(const char *name)
{
	return (XXH64(name, strlen(name), 0));
}

/**
 * members_init() - begin with this daemon alone.
 * @ms: the members
 * @set: checked settings
 * @boot: identifier of this run
 */
void
members_init(struct members *ms, const struct settings *set, const char *boot)
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
	ms->self.incarnation = XXH64(boot, strlen(boot), 0);
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
members_add(struct members *ms, const struct member *news)
{
	struct member *m;

	m = g_new0(struct member, 1);
	m->name = g_strdup(news->name);
	m->domain = g_strdup(news->domain);
	m->name_hash = member_name_hash(news->name);
	TAILQ_INSERT_TAIL(&ms->others, m, entry);
	g_hash_table_insert(ms->by_name, m->name, m);
	event_log(LOG_INFO, "member_new", "member=%s domain=%s", m->name,
	    m->domain);
	return (m);
}

/**
 * members_update() - take what was heard of a daemon.
 * @ms: the members
 * @news: the daemon
 * @seen_ms: local time that the proof is at least as new as
 *
 * Only newer proof counts, so late and repeated news do no harm.
 */
void
members_update(struct members *ms, const struct member *news, uint64_t seen_ms)
{
	struct member *m;

	if (strcmp(news->name, ms->self.name) == 0)
		return;
	g_mutex_lock(&ms->lock);
	m = members_find(ms, news->name);
	if (m == NULL)
		m = members_add(ms, news);
	if (seen_ms > m->as_of_ms) {
		m->as_of_ms = seen_ms;
		m->ip = news->ip;
		m->port = news->port;
		m->incarnation = news->incarnation;
		m->next_offset = news->next_offset;
		m->draining = news->draining;
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * members_refresh() - take news of a daemon of the own failure domain.
 * @ms: the members
 * @key: the low bits of its key; one that is not known is ignored
 * @leaving: it is draining
 * @seen_ms: local time that the proof is at least as new as
 */
void
members_refresh(struct members *ms, uint32_t key, bool leaving,
    uint64_t seen_ms)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		if ((uint32_t)m->name_hash != key || seen_ms <= m->as_of_ms)
			continue;
		m->as_of_ms = seen_ms;
		m->draining = leaving;
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * members_introduce() - hear that a daemon exists, without proof of when.
 * @ms: the members
 * @news: the daemon; name, failure domain and address
 * @now: monotonic milliseconds
 *
 * A new one counts as dead until it answers.
 */
void
members_introduce(struct members *ms, const struct member *news, uint64_t now)
{
	struct member *m;

	if (strcmp(news->name, ms->self.name) == 0)
		return;
	g_mutex_lock(&ms->lock);
	m = members_find(ms, news->name);
	if (m == NULL) {
		m = members_add(ms, news);
		m->as_of_ms = now > ms->dead_ms ? now - ms->dead_ms : 0;
	}
	if (!member_alive(ms, m, now)) {
		m->ip = news->ip;
		m->port = news->port;
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * member_alive() - whether a daemon proved to live lately.
 * @ms: the members
 * @m: the daemon
 * @now: monotonic milliseconds
 */
bool
member_alive(const struct members *ms, const struct member *m, uint64_t now)
{
	return (now < m->as_of_ms + ms->dead_ms);
}

/**
 * members_count_sharing() - how many daemons share the customers' limits.
 * @ms: the members
 * @now: monotonic milliseconds
 *
 * A dead daemon's share is given to the others only while some daemon of its
 * failure domain is heard: a whole domain that falls silent may be cut off
 * and go on serving, so its daemons still count.
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
 * members_rank() - this daemon's place for a key among the live ones of its
 * failure domain.
 * @ms: the members
 * @key: the key, as in rendezvous hashing
 * @last: key of a daemon that comes last for every key, or 0
 * @now: monotonic milliseconds
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
 * members_owner() - the daemon that comes first for a key.
 * @ms: the members
 * @key: the key, as in rendezvous hashing
 * @now: monotonic milliseconds
 * @excluded: keys (uint64_t) of daemons that did not answer
 * @owner: set to its address and key
 *
 * Return: false when it is this daemon itself.
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
 * members_most_advanced() - the live daemon with the longest configuration.
 * @ms: the members
 * @next: only one that has applied beyond this
 * @now: monotonic milliseconds
 * @furthest: set to its address
 */
bool
members_most_advanced(struct members *ms, uint64_t next, uint64_t now,
    struct member *furthest)
{
	struct member *m;
	bool found = false;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (m->next_offset <= next || !member_alive(ms, m, now))
			continue;
		next = m->next_offset;
		furthest->ip = m->ip;
		furthest->port = m->port;
		found = true;
	}
	g_mutex_unlock(&ms->lock);
	return (found);
}

/**
 * members_forget() - forget daemons that were silent for very long.
 * @ms: the members, locked
 * @now: monotonic milliseconds
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
