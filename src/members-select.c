/*
 * Selects the daemons to query in a gossip round: a bounded number of them,
 * so that the cost of gossip per daemon does not grow with their total.
 */
#include <string.h>

#include "members.h"
#include "route.h"

/* Daemons of this failure domain that are queried per round. */
#define LOCAL_QUERIES 2

static void
selection_add(GArray *selected, const struct member *m)
{
	struct member copy = { .ip = m->ip,
		.port = m->port,
		.name_hash = m->name_hash };

	g_array_append_val(selected, copy);
}

/* Returns the nth member of a failure domain, modulo their number, or NULL. */
static struct member *
domain_nth_member(struct members *ms, const char *domain, unsigned index)
{
	unsigned n = 0;
	struct member *m;

	TAILQ_FOREACH(m, &ms->others, entry)
		n += strcmp(m->domain, domain) == 0;
	if (n == 0)
		return (NULL);
	index %= n;
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (strcmp(m->domain, domain) == 0 && index-- == 0)
			return (m);
	}
	return (NULL);
}

/* Whether a member is the first in the list of its failure domain. */
static bool
first_in_domain(struct members *ms, const struct member *m)
{
	struct member *earlier;

	TAILQ_FOREACH(earlier, &ms->others, entry) {
		if (earlier == m)
			return (true);
		if (strcmp(earlier->domain, m->domain) == 0)
			return (false);
	}
	return (true);
}

/*
 * Returns the next daemon of the next other failure domain, round-robin, or
 * NULL when there is none.
 */
static struct member *
next_remote_member(struct members *ms)
{
	unsigned domains = 0, pick;
	struct member *m;

	TAILQ_FOREACH(m, &ms->others, entry)
		domains += strcmp(m->domain, ms->self.domain) != 0 &&
		    first_in_domain(ms, m);
	if (domains == 0)
		return (NULL);
	pick = ms->remote_rotation % domains;
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (strcmp(m->domain, ms->self.domain) == 0 ||
		    !first_in_domain(ms, m))
			continue;
		if (pick-- == 0)
			return (domain_nth_member(ms, m->domain,
			    ms->remote_rotation / domains));
	}
	return (NULL);
}

/**
 * members_select_local() - select daemons of this failure domain to query.
 * @ms: the members
 * @now: monotonic time, in ms
 * @random: random number
 * @selected: array of struct member; addresses and name hashes are appended
 *
 * At most LOCAL_QUERIES daemons are selected, however many there are. The
 * choice is random: if all daemons queried the same one, information held by
 * the others would not spread.
 */
void
members_select_local(struct members *ms, uint64_t now, uint64_t random,
    GArray *selected)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	members_forget(ms, now);
	ms->rotation++;
	for (unsigned i = 0; i < LOCAL_QUERIES; i++) {
		m = domain_nth_member(ms, ms->self.domain,
		    (unsigned)random + i);
		if (m != NULL)
			selection_add(selected, m);
		random = route_mix(random);
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * members_select_remote() - select a daemon of one other failure domain.
 * @ms: the members
 * @selected: array of struct member; its address and name hash are appended
 *
 * Failure domains, and daemons within one, are selected round-robin.
 */
void
members_select_remote(struct members *ms, GArray *selected)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	ms->remote_rotation++;
	m = next_remote_member(ms);
	if (m != NULL)
		selection_add(selected, m);
	g_mutex_unlock(&ms->lock);
}

/**
 * members_select_share() - select a share of this failure domain's daemons.
 * @ms: the members
 * @round: number of the round
 * @rounds: number of rounds in which each daemon is selected once
 * @selected: array of struct member; addresses and name hashes are appended
 */
void
members_select_share(struct members *ms, unsigned round, unsigned rounds,
    GArray *selected)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (strcmp(m->domain, ms->self.domain) == 0 &&
		    (m->name_hash + round) % rounds == 0)
			selection_add(selected, m);
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * members_select_each_remote() - select one daemon of each other failure
 * domain.
 * @ms: the members
 * @selected: array of struct member; addresses and name hashes are appended
 */
void
members_select_each_remote(struct members *ms, GArray *selected)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	ms->rotation++;
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (strcmp(m->domain, ms->self.domain) != 0 &&
		    first_in_domain(ms, m))
			selection_add(selected,
			    domain_nth_member(ms, m->domain, ms->rotation));
	}
	g_mutex_unlock(&ms->lock);
}
