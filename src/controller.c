/*
 * Controls the groups of this failure domain while this daemon holds the
 * domain's lease: plans membership, writes it to the log and sends orders to
 * engines.
 */
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "config-snapshot.h"
#include "controller.h"
#include "event-log.h"
#include "http-batch.h"
#include "lease-elector.h"
#include "lease.h"
#include "orders.h"
#include "plan.h"
#include "server.h"
#include "usage.h"

/* Time between two rounds of the controller. */
#define TICK_MS 200
/* Shorter than lease-wait-ms less lease-hold-ms (4 s by default): the holder's
 * last orders time out before a successor may take over. */
#define ORDER_TIMEOUT_MS 1000
/* A contender for a free lease waits this long times its rank. */
#define RANK_DELAY_MS 1000
/* Assumed time to load one shard; hosts do not report their own yet. */
#define LOAD_MS_DEFAULT 30000

struct controller {
	struct server *server;
	struct lease_elector elector;
	struct lease_times times;
	struct http_batch *orders;
	uint64_t usage_counted_ms;
};

/* The time until which this daemon holds the lease, for other threads. */
static _Atomic uint64_t hold_until_ms;

/**
 * controller_holds_lease() - whether this daemon holds its domain's lease now.
 * @server: the daemon; not used, a process has one controller
 */
bool
controller_holds_lease(struct server *server)
{
	return (clock_now_ms() < atomic_load(&hold_until_ms));
}

/* Appends a lease record. The hold time counts from before the append. */
static void
lease_write(struct controller *c, const char *kind, const char *holder,
    uint64_t term)
{
	uint64_t sent_ms = clock_now_ms(), offset = 0;
	json_auto_t *record = NULL;

	record = json_pack("{s:s, s:s, s:s, s:I, s:I}", "kind", kind, "domain",
	    c->server->set.domain, "holder", holder, "base", (json_int_t)term,
	    "term", (json_int_t)term);
	if (config_append(&c->server->config, record, &offset, NULL) !=
	    VERDICT_APPLIED)
		offset = 0;
	lease_elector_note_sent(&c->elector, sent_ms, offset);
	log_debug("lease_written", "kind=%s offset=%" G_GUINT64_FORMAT, kind,
	    offset);
}

/* Decides what is to be done about the lease; sets *term to its term. */
static enum lease_step
lease_decide(struct controller *c, uint64_t *term)
{
	struct server *server = c->server;
	uint64_t now = clock_now_ms();
	unsigned rank = members_rank(&server->members, 0, 0, now);
	enum lease_step step;
	struct lease *lease;

	g_mutex_lock(&server->config.lock);
	lease = state_lease(server->config.state, server->set.domain);
	*term = lease != NULL ? lease->term : 0;
	step = lease_elector_step(&c->elector, &c->times, lease, server->holder,
	    (uint64_t)rank * RANK_DELAY_MS, now);
	g_mutex_unlock(&server->config.lock);
	return (step);
}

/* Takes or renews the lease when due, and gives it up while draining. */
static void
lease_maintain(struct controller *c)
{
	uint64_t term;
	enum lease_step step = lease_decide(c, &term);

	if (atomic_load(&c->server->draining)) {
		if (lease_elector_holds(&c->elector, clock_now_ms())) {
			lease_write(c, "lease", "", term);
			lease_decide(c, &term);
		}
	} else if (step == LEASE_TAKE) {
		lease_write(c, "lease", c->server->holder, term);
		lease_decide(c, &term);
		if (lease_elector_holds(&c->elector, clock_now_ms()))
			event_log(LOG_NOTICE, "lease_taken", "domain=%s",
			    c->server->set.domain);
	} else if (step == LEASE_RENEW) {
		lease_write(c, "renew", c->server->holder, term);
		lease_decide(c, &term);
	}
	atomic_store(&hold_until_ms, c->elector.hold_until_ms);
}

/* Fills in the limits for orders that are decided now. */
static void
order_limits_now(struct server *server, struct order_limits *lim)
{
	lim->domain = server->set.domain;
	lim->now = clock_now_ms();
	lim->evidence_ms = (uint64_t)server->set.evidence_ms;
	lim->load_parallel = (int)server->set.load_parallel;
}

/* Plans all membership changes that are due. */
static GPtrArray *
plan_membership(struct controller *c)
{
	struct server *server = c->server;
	struct plan_input in = {
		.inv = &server->inv,
		.domain = server->set.domain,
		.limits.now = clock_now_ms(),
		.limits.evidence_ms = (uint64_t)server->set.evidence_ms,
		.limits.dead_ms = (uint64_t)server->set.dead_ms,
		.limits.load_ms = LOAD_MS_DEFAULT,
	};
	struct order_limits lim;
	GPtrArray *records;

	g_mutex_lock(&server->config.lock);
	g_mutex_lock(&server->inv.lock);
	in.state = server->config.state;
	order_limits_now(server, &lim);
	in.limits.loads_free = orders_loads_free(&server->inv, &lim);
	records = plan_changes(&in);
	g_mutex_unlock(&server->inv.lock);
	g_mutex_unlock(&server->config.lock);
	return (records);
}

/* Writes the planned changes to the log while the lease is held. */
static void
write_records(struct controller *c, GPtrArray *records)
{
	for (guint i = 0; i < records->len; i++) {
		json_t *record = records->pdata[i];
		g_autoptr(GError) error = NULL;
		enum verdict verdict;
		uint64_t offset;

		if (!lease_elector_holds(&c->elector, clock_now_ms()))
			return;
		verdict =
		    config_append(&c->server->config, record, &offset, &error);
		event_log(LOG_NOTICE, "membership",
		    "kind=%s group=%s "
		    "offset=%" G_GUINT64_FORMAT " verdict=%s",
		    json_string_value(json_object_get(record, "kind")),
		    json_string_value(json_object_get(record, "name")), offset,
		    verdict_name(verdict));
		if (error != NULL)
			return;
	}
}

/* Sends the orders that are due to the hosts, and logs those that fail. */
static void
send_orders(struct controller *c)
{
	struct server *server = c->server;
	struct order_limits lim;
	struct http_call_list *calls;
	struct http_call *call;

	g_mutex_lock(&server->config.lock);
	g_mutex_lock(&server->inv.lock);
	order_limits_now(server, &lim);
	orders_fill(c->orders, server->config.state, &server->inv, &lim);
	g_mutex_unlock(&server->inv.lock);
	g_mutex_unlock(&server->config.lock);
	/* The lease is checked a last time just before the orders are sent. */
	if (!lease_elector_holds(&c->elector, clock_now_ms())) {
		http_batch_reset(c->orders);
		return;
	}
	calls = http_batch_run(c->orders, ORDER_TIMEOUT_MS);
	TAILQ_FOREACH(call, calls, entry) {
		if (call->status != 200)
			event_log(LOG_WARNING, "order_failed",
			    "host=%s status=%ld",
			    ((struct host *)call->arg)->name, call->status);
	}
	http_batch_reset(c->orders);
}

/* Returns how many failure domains with a lease precede this one by name. */
static unsigned
domain_rank(struct controller *c)
{
	GHashTableIter iter;
	unsigned rank = 0;
	gpointer domain;

	g_hash_table_iter_init(&iter, c->server->config.state->leases);
	while (g_hash_table_iter_next(&iter, &domain, NULL))
		rank += strcmp(domain, c->server->set.domain) < 0;
	return (rank);
}

/*
 * Writes a snapshot when enough records were applied since the last one. Each
 * failure domain waits for a quarter more records than the one before it, so
 * that a lease holder writes only if those of the preceding domains did not.
 */
static void
write_snapshot_if_due(struct controller *c)
{
	struct config *config = &c->server->config;
	uint64_t since, due = (uint64_t)c->server->set.snapshot_records;

	g_mutex_lock(&config->lock);
	since = config->state->next - 1 - config->snapshot_at;
	due += due * domain_rank(c) / 4;
	g_mutex_unlock(&config->lock);
	if (since >= due)
		config_snapshot_write(config, NULL);
}

/* Counts downtime and stranded time since the last tick with the lease held. */
static void
count_usage(struct controller *c)
{
	struct server *server = c->server;
	struct usage_input in = {
		.inv = &server->inv,
		.domain = server->set.domain,
		.now = clock_now_ms(),
		.evidence_ms = (uint64_t)server->set.dead_ms,
	};

	if (c->usage_counted_ms != 0)
		in.elapsed_ms = in.now - c->usage_counted_ms;
	c->usage_counted_ms = in.now;
	g_mutex_lock(&server->config.lock);
	g_mutex_lock(&server->inv.lock);
	in.state = server->config.state;
	usage_count(server->usage, &in);
	g_mutex_unlock(&server->inv.lock);
	g_mutex_unlock(&server->config.lock);
}

/* One round of the controller; without the lease it only tries to get it. */
static void
controller_tick(struct controller *c)
{
	g_autoptr(GPtrArray) records = NULL;

	lease_maintain(c);
	if (!lease_elector_holds(&c->elector, clock_now_ms())) {
		c->usage_counted_ms = 0;
		return;
	}
	count_usage(c);
	records = plan_membership(c);
	write_records(c, records);
	send_orders(c);
	write_snapshot_if_due(c);
}

/**
 * controller_run() - thread that controls the failure domain.
 * @arg: the daemon
 */
void *
controller_run(void *arg)
{
	struct server *server = arg;
	struct controller c = { .server = server };

	c.times.renew = (uint64_t)server->set.lease_renew_ms;
	c.times.hold = (uint64_t)server->set.lease_hold_ms;
	c.times.wait = (uint64_t)server->set.lease_wait_ms;
	c.orders = http_batch_create();
	lease_elector_init(&c.elector, clock_now_ms());
	while (server_sleep(server, TICK_MS))
		controller_tick(&c);
	http_batch_free(c.orders);
	return (NULL);
}
