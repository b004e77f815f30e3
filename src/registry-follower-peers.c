/* What a topic's follower takes over from peers, and how current its copy is.
 * No function here calls the store. */
#include "registry-follower.h"

/* Keys whose records are applied beyond a gap. */
#define AHEAD_KEYS_MAX 8192
/* Longest time that a peer's read counts as having taken: the bound on a call
 * to the store. */
#define PEER_TOOK_MAX_MS 1200

/**
 * topic_follower_init_copy() - prepare to take over updates from peers.
 * @f: the follower
 */
void
topic_follower_init_copy(struct topic_follower *f)
{
	f->ahead_offsets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * topic_follower_begin_records() - note when the records that will be passed
 *	were read.
 * @f: the follower
 * @as_of_ms: loop time; 0 for unknown
 */
void
topic_follower_begin_records(struct topic_follower *f, uint64_t as_of_ms)
{
	f->records_ms = as_of_ms;
	f->copy_ms = MAX(f->proof_ms, f->peer_update_ms);
	if (f->ops->answered != NULL)
		f->ops->answered(f->owner, as_of_ms);
}

/**
 * topic_follower_pass() - pass a record to the owner, unless a newer one of its
 * key was passed before a gap was closed.
 * @f: the follower
 * @record: the record
 */
void
topic_follower_pass(struct topic_follower *f, const struct store_record *record)
{
	gpointer known = g_hash_table_lookup(f->ahead_offsets, record->key);

	if ((uintptr_t)known <= record->offset + 1)
		f->ops->record(f->owner, record);
}

/**
 * topic_follower_advance() - note that all records before an offset are known.
 * @f: the follower
 * @next: the offset
 */
void
topic_follower_advance(struct topic_follower *f, uint64_t next)
{
	f->next = MAX(f->next, next);
	topic_follower_set_updated(f,
	    offset_ranges_absorb(&f->ahead, &f->next));
	if (f->ahead.n == 0)
		g_hash_table_remove_all(f->ahead_offsets);
}

/**
 * topic_follower_ahead_full() - whether no more records may be applied beyond a
 * gap.
 * @f: the follower
 */
bool
topic_follower_ahead_full(const struct topic_follower *f)
{
	return (f->ahead.n == OFFSET_RANGES_MAX ||
	    g_hash_table_size(f->ahead_offsets) >= AHEAD_KEYS_MAX);
}

/* Whether no record of an update beyond a gap may be applied. */
static bool
ahead_refuses(struct topic_follower *f, const struct topic_update *update,
    bool reads_all)
{
	const struct offset_range range = { update->from, update->end,
		update->as_of_ms };

	if (g_hash_table_size(f->ahead_offsets) >= AHEAD_KEYS_MAX)
		return (true);
	return (!reads_all && !offset_ranges_add(&f->ahead, &range));
}

/* Passes the records of an update that begins beyond a gap, and remembers how
 * new they are until the gap is closed. A daemon that reads all records itself
 * does not take the range for known. */
static void
follower_apply_ahead(struct topic_follower *f,
    const struct topic_update *update, bool reads_all)
{
	if (ahead_refuses(f, update, reads_all))
		return;
	for (guint i = 0; i < update->records->len; i++) {
		const struct store_record *record =
		    &g_array_index(update->records, struct store_record, i);
		uintptr_t known =
		    (uintptr_t)g_hash_table_lookup(f->ahead_offsets,
			record->key);

		if (record->offset < f->next || record->offset < known)
			continue;
		f->ops->record(f->owner, record);
		g_hash_table_insert(f->ahead_offsets, g_strdup(record->key),
		    (gpointer)(uintptr_t)(record->offset + 1));
	}
}

/**
 * topic_follower_apply() - apply records that a peer read.
 * @f: the follower
 * @update: the records
 *
 * They are applied even if earlier ones are missing here.
 *
 * Return: false if records before them are missing here.
 */
bool
topic_follower_apply(struct topic_follower *f,
    const struct topic_update *update)
{
	/* Peers leave out records that only a reader needs, so a reader reads
	 * the range itself: one that continued from the update's end missed 8
	 * to 23 of 162 hosts. */
	bool reads_all = f->reader && f->partial;

	topic_follower_begin_records(f, update->as_of_ms);
	if (update->as_of_ms > f->peer_read_ms) {
		f->peer_read_ms = update->as_of_ms;
		f->peer_took_ms = MIN(update->took_ms, PEER_TOOK_MAX_MS);
	}
	if (f->snapshot_keys != NULL)
		f->peer_end = MAX(f->peer_end, update->end);
	if (!f->synced || f->snapshot_keys != NULL)
		return (true);
	if (update->from > f->next) {
		follower_apply_ahead(f, update, reads_all);
		return (false);
	}
	for (guint i = 0; i < update->records->len; i++) {
		const struct store_record *record =
		    &g_array_index(update->records, struct store_record, i);

		if (record->offset >= f->next)
			topic_follower_pass(f, record);
	}
	topic_follower_set_updated(f, update->as_of_ms);
	if (!reads_all)
		topic_follower_advance(f, update->end);
	return (true);
}

/**
 * topic_follower_skip() - skip records whose content came from a peer.
 * @f: the follower
 * @next: offset from which to read on
 */
void
topic_follower_skip(struct topic_follower *f, uint64_t next)
{
	if (f->synced && f->snapshot_keys == NULL)
		topic_follower_advance(f, next);
}

/**
 * topic_follower_set_updated() - note as of when updates from peers are
 * complete.
 * @f: the follower
 * @as_of_ms: loop time as of which they are
 */
void
topic_follower_set_updated(struct topic_follower *f, uint64_t as_of_ms)
{
	f->peer_update_ms = MAX(f->peer_update_ms, as_of_ms);
}

/**
 * topic_follower_covered_until() - loop time until which updates from peers
 * make a read unnecessary.
 * @f: the follower
 *
 * An update is older by what its read took; a read here would take as long.
 *
 * Return: loop time in ms; 0 if peers send no updates.
 */
uint64_t
topic_follower_covered_until(const struct topic_follower *f)
{
	if (f->fallback_ms == 0 || f->peer_update_ms == 0)
		return (0);
	return (f->peer_update_ms + f->peer_took_ms + f->fallback_ms);
}

/**
 * topic_follower_complete() - whether the local copy has all of the topic's
 * records.
 * @f: the follower
 */
bool
topic_follower_complete(const struct topic_follower *f)
{
	return (f->synced && f->snapshot_keys == NULL && f->failures == 0 &&
	    !f->more && !f->snapshot_due && (f->reader || !f->partial));
}

/**
 * topic_follower_overtaken() - whether a snapshot or an update from peers may
 * have had a record already: it came during the read, or was applied beyond a
 * gap.
 * @f: the follower, in the callback for a record
 * @record: the record
 *
 * The record may then be known here, but not at all other daemons.
 */
bool
topic_follower_overtaken(const struct topic_follower *f,
    const struct store_record *record)
{
	if (g_hash_table_lookup(f->ahead_offsets, record->key) != NULL)
		return (true);
	return (f->snapshot_keys == NULL &&
	    (f->next > f->read_from || record->offset < f->snapshot_end));
}

/**
 * topic_follower_age() - age of the local copy by this daemon's own reads.
 * @f: the follower
 * @now_ms: loop time
 *
 * Return: time since the store proved it current, in ms; UINT64_MAX before the
 * first answer.
 */
uint64_t
topic_follower_age(const struct topic_follower *f, uint64_t now_ms)
{
	if (f->proof_ms == 0)
		return (UINT64_MAX);
	return (now_ms > f->proof_ms ? now_ms - f->proof_ms : 0);
}

/**
 * topic_follower_copy_age() - age of the local copy by own reads and by updates
 * from peers.
 * @f: the follower
 * @now_ms: loop time
 *
 * Return: time since it was known to be current, in ms; UINT64_MAX if it never
 * was.
 */
uint64_t
topic_follower_copy_age(const struct topic_follower *f, uint64_t now_ms)
{
	uint64_t as_of_ms = MAX(f->proof_ms, f->peer_update_ms);

	if (as_of_ms == 0)
		return (UINT64_MAX);
	return (now_ms > as_of_ms ? now_ms - as_of_ms : 0);
}
