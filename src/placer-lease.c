/* Taking, verifying and losing the placer's lease. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "placer.h"

/* Each daemon waits this much longer than the one ranked before it. */
#define RANK_DELAY_MS 200
/*
 * Delay of the first daemon by rank after the last placer was heard, and at the
 * start of a daemon, so that the others have been heard.
 */
#define TAKEOVER_DELAY_MS 200
/* Delay after the records of the daemons were read, until relays are chosen. */
#define PEERS_WAIT_MS 600

static void lease_read(struct placer *);

/**
 * placer_step_down() - give up the lease, and drop all replicas and pending
 * records.
 * @p: the placer
 * @reason: reason to log
 */
void
placer_step_down(struct placer *p, const char *reason)
{
	struct replica *r;

	if (p->state == PLACER_HOLDING)
		event_log(LOG_NOTICE, "placer_lost", "term=%lld reason=%s",
		    (long long)p->term, reason);
	p->state = PLACER_IDLE;
	p->served = false;
	p->no_placer_ms = 0;
	p->preparing = false;
	p->mesh->self.placer = false;
	while ((r = TAILQ_FIRST(&p->replicas)) != NULL) {
		TAILQ_REMOVE(&p->replicas, r, entry);
		replica_free(r);
	}
	g_array_set_size(p->pending, 0);
}

static void
on_taken(void *arg, const struct store_response *response)
{
	struct placer *p = arg;

	p->store_busy = false;
	if (p->state != PLACER_TAKING)
		return;
	if (response->result != STORE_OK) {
		event_log(LOG_NOTICE, "placer_not_taken", "term=%lld result=%s",
		    (long long)p->term, store_result_name(response->result));
		placer_step_down(p, "not_taken");
		return;
	}
	p->end_offset = response->end;
	p->verified_ms = response->sent_ms;
	p->state = PLACER_HOLDING;
	p->taken_ms = clock_loop_ms(p->loop);
	p->epochs_issued = 0;
	p->mesh->self.placer = true;
	p->mesh->self.term = p->term;
	p->mesh->held_term = p->term;
	event_log(LOG_NOTICE, "placer_taken", "term=%lld end=%llu served=%d",
	    (long long)p->term, (unsigned long long)p->end_offset, p->served);
	placer_inherit_replicas(p);
	mesh_send_now(p->mesh);
}

/* Writes the lease if nothing was written since the records were read. */
static void
lease_take(struct placer *p)
{
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	struct store_record record = { 0 };

	g_array_set_clear_func(records, store_record_clear);
	p->term++;
	p->records_kept = p->records_kept && !p->record_ignored;
	record.key = g_strdup(PLACER_LEASE_KEY);
	record.value = placer_encode_lease(p->name, p->term, p->records_kept,
	    &record.length);
	g_array_append_val(records, record);
	p->state = PLACER_TAKING;
	p->store_busy = true;
	if (!p->store->ops->append(p->store, TOPIC_PLACEMENT, records,
		(int64_t)p->end_offset, on_taken, p)) {
		p->store_busy = false;
		placer_step_down(p, "store_unreachable");
	}
}

static void
on_read(void *arg, const struct store_response *response)
{
	struct placer *p = arg;

	p->store_busy = false;
	if (p->state != PLACER_READING)
		return;
	if (response->result != STORE_OK) {
		placer_step_down(p, store_result_name(response->result));
		return;
	}
	if (p->read_after == NULL)
		p->end_offset = response->end;
	for (guint i = 0; i < response->records->len; i++)
		placer_load_record(p,
		    &g_array_index(response->records, struct store_record, i));
	if (response->more && response->records->len > 0) {
		const struct store_record *last =
		    &g_array_index(response->records, struct store_record,
			response->records->len - 1);

		g_free(p->read_after);
		p->read_after = g_strdup(last->key);
		lease_read(p);
		return;
	}
	lease_take(p);
}

/* Reads the next page of the records. */
static void
lease_read(struct placer *p)
{
	p->store_busy = true;
	if (!p->store->ops->newest(p->store, TOPIC_PLACEMENT, p->read_after,
		on_read, p)) {
		p->store_busy = false;
		placer_step_down(p, "store_unreachable");
	}
}

/* Whether this daemon should take the lease now. */
static bool
lease_due(struct placer *p, uint64_t now_ms)
{
	const struct mesh *mesh = p->mesh;
	uint64_t wait;

	if (p->store_busy || mesh->self.draining || !mesh->self.store_ok ||
	    p->registry->catalog == NULL || mesh->records_read_ms == 0 ||
	    now_ms - MIN(mesh->records_read_ms, now_ms) < PEERS_WAIT_MS)
		return (false);
	if (mesh_placer_heard(mesh)) {
		p->no_placer_ms = 0;
		p->preparing = false;
		return (false);
	}
	if (p->no_placer_ms == 0)
		p->no_placer_ms = now_ms;
	wait = TAKEOVER_DELAY_MS + (uint64_t)mesh_rank(mesh) * RANK_DELAY_MS;
	if (now_ms - p->no_placer_ms < wait)
		return (false);
	/* The entries from other daemons lack the hosts that serve nothing. */
	p->preparing = true;
	topic_follower_set_reader(&p->registry->endpoints, true);
	return (topic_follower_complete(&p->registry->endpoints));
}

/**
 * placer_lease_poll() - start to take the lease if no daemon holds it and it is
 * this daemon's turn.
 * @p: the placer
 * @now_ms: loop time, in ms
 */
void
placer_lease_poll(struct placer *p, uint64_t now_ms)
{
	if (p->state != PLACER_IDLE || !lease_due(p, now_ms))
		return;
	event_log(LOG_INFO, "placer_taking", "no_placer_ms=%llu rank=%u",
	    (unsigned long long)(now_ms - p->no_placer_ms), mesh_rank(p->mesh));
	placer_step_down(p, "begin");
	g_clear_pointer(&p->read_after, g_free);
	g_hash_table_remove_all(p->usage);
	p->lease_term = 0;
	p->records_kept = false;
	p->record_ignored = false;
	p->state = PLACER_READING;
	lease_read(p);
}

static void
on_checked(void *arg, const struct store_response *response)
{
	struct placer *p = arg;

	p->store_busy = false;
	if (p->state != PLACER_HOLDING)
		return;
	if (response->result == STORE_OK && response->records->len == 0) {
		p->verified_ms = response->sent_ms;
		return;
	}
	if (response->result == STORE_OK || response->result == STORE_TRIMMED)
		placer_step_down(p, "others_wrote");
}

/**
 * placer_lease_verified() - whether the lease was verified recently enough to
 * send orders.
 * @p: the placer
 * @now_ms: loop time, in ms
 *
 * Queries the store if the last verification is too old.
 */
bool
placer_lease_verified(struct placer *p, uint64_t now_ms)
{
	if (p->state != PLACER_HOLDING)
		return (false);
	if (now_ms - p->verified_ms < REPLICA_LEASE_FRESH_MS)
		return (true);
	if (!p->store_busy)
		p->store_busy = p->store->ops->read(p->store, TOPIC_PLACEMENT,
		    p->end_offset, on_checked, p);
	return (false);
}
