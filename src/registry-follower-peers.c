/* What a topic's follower takes over from peers, and how current its copy is.
 * No function here calls the store. */
#include "registry-follower.h"

/**
 * topic_follower_apply() - apply records that a peer read.
 * @f: the follower
 * @from: start offset of the peer's read
 * @end: end offset of the peer's read
 * @records: all that changed in that range, of struct store_record
 *
 * Return: false if records before @from are missing here.
 */
bool
topic_follower_apply(struct topic_follower *f, uint64_t from, uint64_t end,
    const GArray *records)
{
	if (!f->synced || f->snapshot_keys != NULL)
		return (true);
	if (from > f->next)
		return (false);
	for (guint i = 0; i < records->len; i++) {
		const struct store_record *record =
		    &g_array_index(records, struct store_record, i);

		if (record->offset >= f->next)
			f->ops->record(f->owner, record);
	}
	/* Peers leave out records that only a reader needs, so a reader reads
	 * the range itself: one that continued from @end missed 8 to 23 of 162
	 * hosts. */
	if (!f->reader || !f->partial)
		f->next = MAX(f->next, end);
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
		f->next = MAX(f->next, next);
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
 * topic_follower_overtaken() - whether an update from peers came during the
 * read.
 * @f: the follower, in the callback for a record
 *
 * The record may then be known here, but not at all other daemons.
 */
bool
topic_follower_overtaken(const struct topic_follower *f)
{
	return (f->snapshot_keys == NULL && f->next > f->read_from);
}

/**
 * topic_follower_age() - age of the local copy.
 * @f: the follower
 * @now_ms: loop time
 *
 * Return: time since it was known to be current, in ms; UINT64_MAX before the
 * first answer.
 */
uint64_t
topic_follower_age(const struct topic_follower *f, uint64_t now_ms)
{
	if (f->proof_ms == 0)
		return (UINT64_MAX);
	return (now_ms > f->proof_ms ? now_ms - f->proof_ms : 0);
}
