/* Gossip messages: members, targets and hosts, each with its age. */
#include <string.h>

#include "clock.h"
#include "peer-gossip.h"
#include "peer-pack.h"
#include "server.h"

/**
 * peer_gossip_fill_self() - fill in the entry of this daemon.
 * @server: this daemon
 * @out: filled in; the strings remain owned by @server
 */
void
peer_gossip_fill_self(struct server *server, struct peer_member *out)
{
	const struct member *self = &server->members.self;

	out->name = self->name;
	out->domain = self->domain;
	out->ip = self->ip;
	out->port = self->port;
	out->boot = self->incarnation;
	out->applied = config_next(&server->config);
	out->age_ms = 0;
	out->leaving = atomic_load(&server->draining);
}

/* Returns how long ago a time was, in ms, as messages carry it. */
static unsigned
age_ms_since(uint64_t as_of_ms, uint64_t now)
{
	return (now > as_of_ms ? (unsigned)MIN(now - as_of_ms, UINT32_MAX) : 0);
}

/* Fills in the targets of this failure domain that have recent evidence. */
static void
fill_targets(struct server *server, uint64_t now, struct pull_reply *reply)
{
	GHashTableIter iter;
	gpointer value;
	unsigned n = 0;

	reply->targets.targets_val = g_new0(peer_target, PEER_TARGETS_MAX);
	g_mutex_lock(&server->view_lock);
	g_hash_table_iter_init(&iter, server->tables.targets);
	while (n < PEER_TARGETS_MAX &&
	    g_hash_table_iter_next(&iter, NULL, &value)) {
		struct target *target = value;
		uint64_t as_of_ms = atomic_load(&target->evidence_as_of_ms);
		peer_target *out = &reply->targets.targets_val[n];
		struct peer_pack pack;

		/*
		 * Only targets of this domain, and only evidence so recent
		 * that most daemons lack it.
		 */
		if (strcmp(target->domain, server->set.domain) != 0 ||
		    now >= as_of_ms + (uint64_t)server->set.evidence_ms * 3 / 4)
			continue;
		pack.age_ms = age_ms_since(as_of_ms, now);
		pack.flag = atomic_load(&target->valid_until_ms) > 0;
		pack.load = atomic_load(&target->reported_load);
		out->key = target->key;
		out->news = peer_pack(&pack);
		n++;
	}
	g_mutex_unlock(&server->view_lock);
	reply->targets.targets_len = n;
}

/* Fills in a bounded number of members, from a position that rotates. */
static void
fill_members(struct server *server, uint64_t now, struct pull_reply *reply)
{
	struct members *ms = &server->members;
	struct member *m;
	unsigned n = 0, i = 0, total = 0, start;

	reply->members.members_val = g_new0(peer_member, PEER_MEMBERS_MAX);
	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry)
		total++;
	start = total > PEER_MEMBERS_MAX ?
	    ms->rotation * PEER_MEMBERS_MAX % total :
	    0;
	TAILQ_FOREACH(m, &ms->others, entry) {
		peer_member *out = &reply->members.members_val[n];

		if (i++ < start || n == PEER_MEMBERS_MAX ||
		    !member_alive(ms, m, now))
			continue;
		out->name = g_strdup(m->name);
		out->domain = g_strdup(m->domain);
		out->ip = m->ip;
		out->port = m->port;
		out->boot = m->incarnation;
		out->applied = m->next_offset;
		out->age_ms = age_ms_since(m->as_of_ms, now);
		out->leaving = m->draining;
		n++;
	}
	g_mutex_unlock(&ms->lock);
	reply->members.members_len = n;
}

/* Fills in the liveness of this failure domain's daemons. */
static void
fill_lives(struct server *server, uint64_t now, struct pull_reply *reply)
{
	struct members *ms = &server->members;
	struct member *m;
	unsigned n = 0;

	reply->lives.lives_val = g_new0(peer_life, PEER_LIVES_MAX);
	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry) {
		peer_life *out = &reply->lives.lives_val[n];
		struct peer_pack pack = { 0 };

		if (n == PEER_LIVES_MAX || !member_alive(ms, m, now) ||
		    strcmp(m->domain, server->set.domain) != 0)
			continue;
		pack.age_ms = age_ms_since(m->as_of_ms, now);
		pack.flag = m->draining;
		out->key = (uint32_t)m->name_hash;
		out->news = peer_pack(&pack);
		n++;
	}
	g_mutex_unlock(&ms->lock);
	reply->lives.lives_len = n;
}

/**
 * peer_gossip_fill_hosts() - fill in this daemon's own evidence of hosts.
 * @server: this daemon
 * @reply: filled in; free with xdr_free()
 */
void
peer_gossip_fill_hosts(struct server *server, struct hosts_reply *reply)
{
	uint64_t now = clock_now_ms();
	struct host *host;
	unsigned n = 0;

	reply->hosts.hosts_val = g_new0(peer_host, PEER_HOSTS_MAX);
	g_mutex_lock(&server->inv.lock);
	TAILQ_FOREACH(host, &server->inv.hosts, entry) {
		const struct evidence *ev = &host->evidence;
		peer_host *out = &reply->hosts.hosts_val[n];
		struct peer_pack pack = { 0 };
		struct peer_host_state held;

		if (n == PEER_HOSTS_MAX ||
		    !evidence_fresh(ev, now, (uint64_t)server->set.evidence_ms))
			continue;
		pack.age_ms = age_ms_since(ev->as_of_ms, now);
		pack.load = ev->load;
		held.state = ev->state;
		held.shard = ev->shard;
		held.shards = ev->shards;
		out->key = (uint32_t)host->name_hash;
		out->news = peer_pack(&pack);
		out->epoch = ev->epoch;
		out->held = peer_pack_host_state(&held);
		out->model = (uint32_t)ev->model_hash;
		n++;
	}
	g_mutex_unlock(&server->inv.lock);
	reply->hosts.hosts_len = n;
}

/**
 * peer_gossip_fill() - fill in the reply to a daemon's query.
 * @server: this daemon
 * @reply: filled in; free with xdr_free()
 */
void
peer_gossip_fill(struct server *server, struct pull_reply *reply)
{
	uint64_t now = clock_now_ms();

	memset(reply, 0, sizeof *reply);
	peer_gossip_fill_self(server, &reply->self);
	reply->self.name = g_strdup(reply->self.name);
	reply->self.domain = g_strdup(reply->self.domain);
	fill_targets(server, now, reply);
	fill_members(server, now, reply);
	fill_lives(server, now, reply);
}

/* Applies a member's entry, whose age counts from the time of the query. */
static void
apply_member(struct server *server, const struct peer_member *in,
    uint64_t sent_ms)
{
	struct member update = { .name = in->name,
		.domain = in->domain,
		.ip = in->ip,
		.port = (uint16_t)in->port,
		.incarnation = in->boot,
		.next_offset = in->applied,
		.draining = in->leaving };

	if (in->name[0] != '\0' && in->age_ms < sent_ms)
		members_update(&server->members, &update, sent_ms - in->age_ms);
}

/* Applies the liveness of this failure domain's daemons. */
static void
apply_lives(struct server *server, const struct pull_reply *reply,
    uint64_t sent_ms)
{
	for (unsigned i = 0; i < reply->lives.lives_len; i++) {
		const peer_life *in = &reply->lives.lives_val[i];
		struct peer_pack pack = peer_unpack(in->news);

		if (pack.age_ms < sent_ms)
			members_refresh(&server->members, in->key, pack.flag,
			    sent_ms - pack.age_ms);
	}
}

/* Applies newer evidence and loads of known targets. */
static void
apply_targets(struct server *server, const struct pull_reply *reply,
    uint64_t sent_ms)
{
	struct target *target;

	g_mutex_lock(&server->view_lock);
	for (unsigned i = 0; i < reply->targets.targets_len; i++) {
		const peer_target *in = &reply->targets.targets_val[i];
		struct peer_pack pack = peer_unpack(in->news);
		uint64_t key = in->key, as_of_ms;

		target = g_hash_table_lookup(server->tables.targets, &key);
		if (target == NULL || pack.age_ms >= sent_ms)
			continue;
		as_of_ms = sent_ms - pack.age_ms;
		if (as_of_ms <= atomic_load(&target->evidence_as_of_ms))
			continue;
		target_update_evidence(target, as_of_ms, pack.flag,
		    (uint64_t)server->set.evidence_ms);
		target_update_load(target, as_of_ms, pack.load);
	}
	g_mutex_unlock(&server->view_lock);
}

/**
 * peer_gossip_introduce() - add the daemon that sent a query to the members.
 * @server: this daemon
 * @from: the sender's entry
 *
 * The query may have been queued while this daemon was paused, so it does not
 * prove that the sender is alive now: the sender becomes known, and is then
 * queried itself.
 */
void
peer_gossip_introduce(struct server *server, const struct peer_member *from)
{
	struct member update = { .name = from->name,
		.domain = from->domain,
		.ip = from->ip,
		.port = (uint16_t)from->port };

	if (from->name[0] != '\0')
		members_introduce(&server->members, &update, clock_now_ms());
}

/**
 * peer_gossip_apply() - apply another daemon's reply to a query.
 * @server: this daemon
 * @reply: the reply
 * @sent_ms: monotonic time before the query was sent, in ms
 */
void
peer_gossip_apply(struct server *server, const struct pull_reply *reply,
    uint64_t sent_ms)
{
	apply_member(server, &reply->self, sent_ms);
	for (unsigned i = 0; i < reply->members.members_len; i++)
		apply_member(server, &reply->members.members_val[i], sent_ms);
	apply_lives(server, reply, sent_ms);
	apply_targets(server, reply, sent_ms);
}

/* Applies evidence of one host if it is newer. */
static void
apply_host(struct host *host, const struct peer_host *in, uint64_t sent_ms)
{
	struct peer_pack pack = peer_unpack(in->news);
	struct peer_host_state held = peer_unpack_host_state(in->held);
	struct evidence *ev = &host->evidence;
	uint64_t as_of_ms = sent_ms - MIN(pack.age_ms, sent_ms);

	if (as_of_ms <= ev->as_of_ms)
		return;
	ev->as_of_ms = as_of_ms;
	ev->state = (enum host_state)held.state;
	ev->epoch = in->epoch;
	ev->model_hash = in->model;
	ev->shard = held.shard;
	ev->shards = held.shards;
	ev->load = pack.load;
	if (ev->epoch != 0)
		host->last_in_group_ms = clock_now_ms();
}

/**
 * peer_gossip_apply_hosts() - apply another daemon's evidence of hosts.
 * @server: this daemon
 * @reply: the reply
 * @sent_ms: monotonic time before the query was sent, in ms
 */
void
peer_gossip_apply_hosts(struct server *server, const struct hosts_reply *reply,
    uint64_t sent_ms)
{
	struct host *host;

	g_mutex_lock(&server->inv.lock);
	TAILQ_FOREACH(host, &server->inv.hosts, entry) {
		for (unsigned i = 0; i < reply->hosts.hosts_len; i++) {
			const peer_host *in = &reply->hosts.hosts_val[i];

			if ((uint32_t)host->name_hash == in->key)
				apply_host(host, in, sent_ms);
		}
	}
	g_mutex_unlock(&server->inv.lock);
}
