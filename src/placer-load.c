/* Loading of the records of the previous placer. */
#include <string.h>

#include "clock.h"
#include "placer.h"

/* Loads the record of a service's bound. */
static void
record_load_bound(struct placer *p, const struct store_record *record)
{
	g_autofree char *text =
	    g_strndup((const char *)record->value, record->length);
	const char *service = record->key + strlen(PLACER_BOUND_PREFIX);

	placer_usage(p, service)->demand.largest_max =
	    (unsigned)g_ascii_strtoull(text, NULL, 10);
}

/**
 * placer_load_record() - load one record while the lease is being taken.
 * @p: the placer
 * @record: the record
 */
void
placer_load_record(struct placer *p, const struct store_record *record)
{
	struct replica *r;

	if (record->value == NULL)
		return;
	if (strcmp(record->key, PLACER_LEASE_KEY) == 0) {
		p->lease_term = placer_decode_lease(record->value,
		    record->length, &p->records_kept);
		p->term = MAX(p->term, p->lease_term);
		return;
	}
	if (strcmp(record->key, PLACER_SERVED_KEY) == 0)
		p->served = true;
	if (g_str_has_prefix(record->key, PLACER_BOUND_PREFIX))
		record_load_bound(p, record);
	if (!g_str_has_prefix(record->key, PLACER_GROUP_PREFIX))
		return;
	r = placer_decode_replica(record->key + strlen(PLACER_GROUP_PREFIX),
	    record->value, record->length);
	if (r == NULL) {
		p->record_ignored = true;
		return;
	}
	TAILQ_INSERT_TAIL(&p->replicas, r, entry);
}

/* Writes the records again that the next placer could not trust otherwise. */
static void
replicas_record_again(struct placer *p)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		if (replica_record_outdated(r))
			placer_record_replica(p, r, false);
	}
}

/**
 * placer_inherit_replicas() - take over the replicas whose records were read.
 * @p: the placer; it has just taken the lease, and the previous placer may have
 *	sent orders until then
 */
void
placer_inherit_replicas(struct placer *p)
{
	struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry)
		replica_inherit(r, clock_loop_ms(p->loop),
		    r->term != 0 && r->term == p->lease_term);
	replicas_record_again(p);
}

/**
 * placer_update_records_kept() - note once no order of a former placer can be
 * carried out any more, whatever its version did with its records.
 * @p: the placer, which holds the lease
 * @now_ms: loop time, in ms
 *
 * The lease is written again to tell the next placer.
 */
void
placer_update_records_kept(struct placer *p, uint64_t now_ms)
{
	if (p->records_kept || now_ms - p->taken_ms < REPLICA_FORMER_ORDER_MS)
		return;
	p->records_kept = true;
	placer_record_lease(p);
}
