/*
 * When the store was last away. Entries that lapse in an outage are written
 * again after it, so their endpoints keep their requests for a while; an entry
 * that is removed while the store works is that of an endpoint that is gone.
 *
 * A daemon that can't reach the store doesn't know whether others can. So a gap
 * between two answers counts as an outage only if no daemon is known to have
 * had an answer within it, and if calls did fail. Pure.
 */
#include <glib.h>

#include "registry-outage.h"

/* Shortest gap in which an entry can lapse. An entry lapses after three
 * intervals of heartbeats without one, so more than one must be missed. */
#define OUTAGE_MIN_MS 1200
/* Other daemons are silent once nothing was heard of them for so long: each
 * sends something every 1.1 s. */
#define SILENT_MS 1500
/* Without an answer for so long, a failed call shows an outage. */
#define UNANSWERED_MS 1500
/* Removals that are read this soon after an outage date from it; later ones are
 * current. */
#define CATCH_UP_MS 250
/* Entries that lapsed in an outage are written again within about 2 s of its
 * end. */
#define RECOVERY_MS 2300

/* Whether entries can have lapsed between two answers, of which the first may
 * be none (0). */
static bool
gap_is_long(uint64_t from_ms, uint64_t until_ms)
{
	return (from_ms != 0 && until_ms >= from_ms + OUTAGE_MIN_MS);
}

/* Whether this daemon was cut off itself: the other daemons fell silent when
 * the store did, and are silent still. */
static bool
outage_is_isolation(const struct store_outage *o, uint64_t now_ms)
{
	return (o->heard_ms != 0 && o->heard_ms + SILENT_MS <= now_ms &&
	    o->heard_ms + SILENT_MS >= o->answered_ms &&
	    o->heard_ms <= o->answered_ms + SILENT_MS);
}

/* Takes an answer within the newest gap into account: the longer part of the
 * gap is left, if it is long enough. */
static void
outage_split(struct store_outage *o, uint64_t as_of_ms)
{
	if (as_of_ms <= o->from_ms || as_of_ms >= o->until_ms)
		return;
	if (as_of_ms - o->from_ms >= o->until_ms - as_of_ms)
		o->until_ms = as_of_ms;
	else
		o->from_ms = as_of_ms;
	if (!gap_is_long(o->from_ms, o->until_ms))
		o->regained_ms = 0;
}

/**
 * outage_note_failed() - note that a call of this daemon failed.
 * @o: the outage
 * @now_ms: loop time
 */
void
outage_note_failed(struct store_outage *o, uint64_t now_ms)
{
	o->failed_ms = now_ms;
}

/**
 * outage_note_heard() - note that another daemon was heard.
 * @o: the outage
 * @now_ms: loop time
 */
void
outage_note_heard(struct store_outage *o, uint64_t now_ms)
{
	o->heard_ms = now_ms;
}

/**
 * outage_note_answered() - note that the store has answered this daemon or
 *	another one.
 * @o: the outage
 * @as_of_ms: loop time as of which it did; 0 for unknown
 * @now_ms: loop time
 *
 * Return: whether this is the end of an outage.
 */
bool
outage_note_answered(struct store_outage *o, uint64_t as_of_ms, uint64_t now_ms)
{
	uint64_t from = o->answered_ms;
	bool ended;

	if (as_of_ms <= from) {
		outage_split(o, as_of_ms);
		return (false);
	}
	ended = o->failed_ms > from && !outage_is_isolation(o, now_ms);
	o->answered_ms = as_of_ms;
	if (!gap_is_long(from, as_of_ms))
		return (false);
	o->from_ms = from;
	o->until_ms = as_of_ms;
	o->regained_ms = ended ? now_ms : 0;
	return (ended);
}

/**
 * outage_note_told() - note that another daemon reports the end of an outage.
 * @o: the outage
 * @regained_ms: loop time at which the store answered that daemon again
 *
 * A daemon that was cut off itself may report one. It is believed only if no
 * answer is known here from the time before.
 *
 * Return: whether it is believed and is news.
 */
bool
outage_note_told(struct store_outage *o, uint64_t regained_ms)
{
	bool is_open = gap_is_long(o->answered_ms, regained_ms);
	bool is_gap = gap_is_long(o->from_ms, regained_ms) &&
	    !gap_is_long(o->until_ms, regained_ms);

	if (regained_ms <= o->regained_ms || (!is_open && !is_gap))
		return (false);
	if (is_open) {
		o->from_ms = o->answered_ms;
		o->until_ms = regained_ms;
		o->answered_ms = regained_ms;
	}
	o->regained_ms = regained_ms;
	return (true);
}

/**
 * outage_active() - whether the store is away, as far as is known.
 * @o: the outage
 * @now_ms: loop time
 */
bool
outage_active(const struct store_outage *o, uint64_t now_ms)
{
	return (o->failed_ms > o->answered_ms &&
	    now_ms - o->answered_ms >= UNANSWERED_MS);
}

/**
 * outage_caused() - whether an entry may have been removed because of the
 *	newest outage.
 * @o: the outage
 * @copy_ms: loop time as of which there was no removal yet
 * @as_of_ms: loop time at which the removal was read from the store
 */
bool
outage_caused(const struct store_outage *o, uint64_t copy_ms, uint64_t as_of_ms)
{
	return (o->regained_ms != 0 && as_of_ms > o->from_ms &&
	    (copy_ms < o->until_ms || as_of_ms < o->regained_ms + CATCH_UP_MS));
}

/**
 * outage_recovering() - whether entries that lapsed in the newest outage may
 *	still be written again.
 * @o: the outage
 * @now_ms: loop time
 */
bool
outage_recovering(const struct store_outage *o, uint64_t now_ms)
{
	return (o->regained_ms != 0 && now_ms < o->regained_ms + RECOVERY_MS);
}
