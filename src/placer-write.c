/* Writing of the placer's records to the store. */
#include <string.h>

#include "placer.h"

/* Queues a record to be written; takes ownership of the value. */
static void
record_queue(struct placer *p, const char *prefix, const char *key,
    guint8 *value, size_t length)
{
	struct store_record record = { 0 };

	record.key = g_strconcat(prefix, key, NULL);
	record.value = value;
	record.length = length;
	g_array_append_val(p->pending, record);
}

/**
 * placer_record_replica() - queue the writing or removal of a replica's record.
 * @p: the placer
 * @r: the replica
 * @remove: remove the record instead of writing it
 */
void
placer_record_replica(struct placer *p, const struct replica *r, bool remove)
{
	guint8 *value = NULL;
	size_t length = 0;

	if (!remove)
		value = placer_encode_replica(r, p->term, &length);
	record_queue(p, PLACER_GROUP_PREFIX, r->name, value, length);
}

/**
 * placer_record_served() - record permanently that requests have arrived.
 * @p: the placer
 *
 * Only before the first request are loads quick and not counted. Daemons that
 * have all been restarted have seen no request, so the record tells them.
 */
void
placer_record_served(struct placer *p)
{
	if (p->served)
		return;
	p->served = true;
	record_queue(p, "", PLACER_SERVED_KEY, g_memdup2("1", 1), 1);
}

/**
 * placer_record_lease() - queue the writing of the lease that is held.
 * @p: the placer
 */
void
placer_record_lease(struct placer *p)
{
	size_t length;
	guint8 *value =
	    placer_encode_lease(p->name, p->term, p->records_kept, &length);

	record_queue(p, "", PLACER_LEASE_KEY, value, length);
}

/**
 * placer_record_bound() - record the bound on the replicas of a service's
 * largest model, for the next placer.
 * @p: the placer
 * @service: name of the service
 * @max: maximum number of these replicas; 0 for no bound
 */
void
placer_record_bound(struct placer *p, const char *service, unsigned max)
{
	char *text = g_strdup_printf("%u", max);

	record_queue(p, PLACER_BOUND_PREFIX, service, (guint8 *)text,
	    strlen(text));
}

/* Whether a newer record for a key waits to be written. */
static bool
record_pending(const struct placer *p, const char *key)
{
	for (guint i = 0; i < p->pending->len; i++) {
		if (strcmp(g_array_index(p->pending, struct store_record, i)
			       .key,
			key) == 0)
			return (true);
	}
	return (false);
}

/* Marks the replicas whose records were written: their orders may be sent. */
static void
replicas_mark_recorded(struct placer *p, const GArray *records)
{
	for (guint i = 0; i < records->len; i++) {
		const struct store_record *record =
		    &g_array_index(records, struct store_record, i);
		struct replica *r;

		if (record->value == NULL ||
		    !g_str_has_prefix(record->key, PLACER_GROUP_PREFIX) ||
		    record_pending(p, record->key))
			continue;
		TAILQ_FOREACH(r, &p->replicas, entry) {
			if (strcmp(r->name,
				record->key + strlen(PLACER_GROUP_PREFIX)) == 0)
				r->recorded = true;
		}
	}
}

/* An append in flight, with its records and the term that it was made in. */
struct placer_append {
	struct placer *placer;
	GArray *records;
	int64_t term;
};

static void
on_written(void *arg, const struct store_response *response)
{
	struct placer_append *append = arg;
	struct placer *p = append->placer;

	p->store_busy = false;
	if (p->state == PLACER_HOLDING && p->term == append->term) {
		switch (response->result) {
		case STORE_OK:
			p->end_offset = response->end;
			p->verified_ms = response->sent_ms;
			replicas_mark_recorded(p, append->records);
			placer_schedule_pass(p);
			break;
		case STORE_REFUSED:
			/* Nothing was written: keep the records for a retry. */
			g_array_prepend_vals(p->pending, append->records->data,
			    append->records->len);
			g_array_set_clear_func(append->records, NULL);
			break;
		default:
			/*
			 * Another daemon wrote, or this write may still take
			 * effect: the records have to be read again.
			 */
			placer_step_down(p,
			    store_result_name(response->result));
			break;
		}
	}
	g_array_free(append->records, TRUE);
	g_free(append);
}

/**
 * placer_flush_records() - write the pending records, unless a call to the
 * store is in flight.
 * @p: the placer
 */
void
placer_flush_records(struct placer *p)
{
	struct placer_append *append;

	if (p->store_busy || p->pending->len == 0 || p->state != PLACER_HOLDING)
		return;
	append = g_new0(struct placer_append, 1);
	append->placer = p;
	append->term = p->term;
	append->records = p->pending;
	p->pending = g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(p->pending, store_record_clear);
	p->store_busy = true;
	if (!p->store->ops->append(p->store, TOPIC_PLACEMENT, append->records,
		(int64_t)p->end_offset, on_written, append)) {
		const struct store_response none = { .result = STORE_REFUSED };

		on_written(append, &none);
	}
}
