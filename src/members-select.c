/*
 * Whom to ask for news. Each round asks a bounded number of daemons, whatever
 * their number, so that the cost of news does not grow with it.
 */
#include <string.h>

#include "members.h"
#include "route.h"

/* Daemons of the own failure domain asked per round. */
#define ASK_LOCAL 2

static void
ask_add(GArray *ask, const struct member *m)
{
	struct member copy = { .ip = m->ip,
		.port = m->port,
		.name_hash = m->name_hash };

	g_array_append_val(ask, copy);
}

/* The nth member of a failure domain, counted around; NULL if it has none. */
static struct member *
domain_member(struct members *ms, const char *domain, unsigned turn)
{
	unsigned n = 0;
	struct member *m;

	TAILQ_FOREACH(m, &ms->others, entry)
		n += strcmp(m->domain, domain) == 0;
	if (n == 0)
		return (NULL);
	turn %= n;
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (strcmp(m->domain, domain) == 0 && turn-- == 0)
			return (m);
	}
	return (NULL);
}

/* Whether no earlier member is of the same failure domain. */
static bool
first_of_domain(struct members *ms, const struct member *m)
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

/* The next daemon of the next other failure domain, in turn, or NULL. */
static struct member *
remote_member(struct members *ms)
{
	unsigned domains = 0, pick;
	struct member *m;

	TAILQ_FOREACH(m, &ms->others, entry)
		domains += strcmp(m->domain, ms->self.domain) != 0 &&
		    first_of_domain(ms, m);
	if (domains == 0)
		return (NULL);
	pick = ms->remote_rotation % domains;
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (strcmp(m->domain, ms->self.domain) == 0 ||
		    !first_of_domain(ms, m))
			continue;
		if (pick-- == 0)
			return (domain_member(ms, m->domain,
			    ms->remote_rotation / domains));
	}
	return (NULL);
}

/**
 * members_select_local() - whom to ask for news in this round.
 * @ms: the members
 * @now: monotonic milliseconds
 * @random: a random number
 * @ask: array of struct member; addresses and keys are added
 *
 * A bounded number of the own failure domain, whatever the number of daemons.
 * They are drawn by chance: if all daemons asked the same one, nobody would
 * hear of the others' news.
 */
void
members_select_local(struct members *ms, uint64_t now, uint64_t random,
    GArray *ask)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	members_forget(ms, now);
	ms->rotation++;
	for (unsigned i = 0; i < ASK_LOCAL; i++) {
		m = domain_member(ms, ms->self.domain, (unsigned)random + i);
		if (m != NULL)
			ask_add(ask, m);
		random = route_mix(random);
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * members_select_remote() - a daemon of another failure domain, in turn.
 * @ms: the members
 * @ask: array of struct member; its address and key are added
 */
void
members_select_remote(struct members *ms, GArray *ask)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	ms->remote_rotation++;
	m = remote_member(ms);
	if (m != NULL)
		ask_add(ask, m);
	g_mutex_unlock(&ms->lock);
}

/**
 * members_select_share() - the daemons of the own failure domain, in shares.
 * @ms: the members
 * @round: number of the round
 * @rounds: rounds in which each is asked once
 * @ask: array of struct member; addresses and keys are added
 */
void
members_select_share(struct members *ms, unsigned round, unsigned rounds,
    GArray *ask)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (strcmp(m->domain, ms->self.domain) == 0 &&
		    (m->name_hash + round) % rounds == 0)
			ask_add(ask, m);
	}
	g_mutex_unlock(&ms->lock);
}

/**
 * members_select_each_remote() - one daemon of each other failure domain.
 * @ms: the members
 * @ask: array of struct member; addresses and keys are added
 */
void
members_select_each_remote(struct members *ms, GArray *ask)
{
	struct member *m;

	g_mutex_lock(&ms->lock);
	ms->rotation++;
	TAILQ_FOREACH(m, &ms->others, entry) {
		if (strcmp(m->domain, ms->self.domain) != 0 &&
		    first_of_domain(ms, m))
			ask_add(ask,
			    domain_member(ms, m->domain, ms->rotation));
	}
	g_mutex_unlock(&ms->lock);
}
