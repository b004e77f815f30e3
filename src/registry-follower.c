/* Follows a topic of the store and knows how old its knowledge is. */
#include <string.h>

#include "clock.h"
#include "registry-follower.h"
#include "event-log.h"

/* Pause after the first failure, doubled for each further one. */
#define RETRY_FIRST_MS 50
/* Longest pause: how late the store's return may be noticed. */
#define RETRY_LONGEST_MS 400
/* Daemons that do not read for others try again this many fallbacks later, and
 * those that follow a relay, of which there are hundreds, so many. */
#define FAILED_FALLBACKS 2
#define FAILED_FALLBACKS_LED 6
/* Between two reads that something waits for: with hundreds of hosts there is
 * always something, and each read is a call. */
#define HURRY_LEAST_MS 50

static void follow_ask(struct topic_follower *);
static void follow_later(struct topic_follower *, unsigned);

/* How long the others' news still spare an own read; 0 for no longer. */
static unsigned
follow_spared_ms(const struct topic_follower *f)
{
	uint64_t now = clock_loop_ms(f->loop),
		 until = f->peer_update_ms + f->fallback_ms;

	if (f->reader || f->fallback_ms == 0 || f->peer_update_ms == 0 ||
	    f->snapshot_keys != NULL || now >= until)
		return (0);
	return ((unsigned)(until - now));
}

static void
on_timer(uv_timer_t *timer)
{
	struct topic_follower *f = timer->data;
	unsigned spared = f->snapshot_due ? 0 : follow_spared_ms(f);

	if (spared > 0)
		follow_later(f, spared);
	else
		follow_ask(f);
}

static void
on_hurry(uv_timer_t *timer)
{
	follow_ask(timer->data);
}

static void
follow_later(struct topic_follower *f, unsigned ms)
{
	if (!f->stopped)
		uv_timer_start(&f->timer, on_timer, ms, 0);
}

/* Waits as long as the pause and the others' news allow. */
static void
follow_rest(struct topic_follower *f)
{
	unsigned spared = follow_spared_ms(f);

	if (f->snapshot_due)
		follow_later(f, HURRY_LEAST_MS);
	else if (spared > 0 || f->interval_ms > 0)
		follow_later(f, MAX(spared, f->interval_ms));
	else
		follow_ask(f);
}

/* Counts a failure; the first one is said. */
static void
follow_failed(struct topic_follower *f, const struct store_response *answer)
{
	unsigned pause = RETRY_FIRST_MS;

	if (f->failures == 0)
		event_log(LOG_WARNING, "store_lost",
		    "topic=%s result=%s status=%u age_ms=%llu",
		    store_topic_name(f->topic),
		    store_result_name(answer->result), answer->status,
		    (unsigned long long)topic_follower_age(f,
			clock_loop_ms(f->loop)));
	for (unsigned i = 0; i < f->failures && pause < RETRY_LONGEST_MS; i++)
		pause *= 2;
	f->failures++;
	pause = MIN(pause, RETRY_LONGEST_MS);
	/* One daemon notices the store's return for the others. */
	if (!f->reader && f->fallback_ms > 0)
		pause = MAX(pause,
		    f->fallback_ms *
			(f->slow_retry ? FAILED_FALLBACKS_LED :
					 FAILED_FALLBACKS));
	follow_later(f, pause);
}

/* Notes that the state is known as of the moment of asking. */
static void
follow_proved(struct topic_follower *f, const struct store_response *answer)
{
	if (f->failures > 0) {
		f->regained_ms = clock_loop_ms(f->loop);
		event_log(LOG_NOTICE, "store_regained",
		    "topic=%s failures=%u age_ms=%llu",
		    store_topic_name(f->topic), f->failures,
		    (unsigned long long)topic_follower_age(f,
			clock_loop_ms(f->loop)));
	}
	f->failures = 0;
	f->proof_ms = MAX(f->proof_ms, answer->sent_ms);
}

/* Gives the records on; while a snapshot is read, their keys are kept. */
static void
follow_take(struct topic_follower *f, const GArray *records)
{
	for (guint i = 0; i < records->len; i++) {
		const struct store_record *record =
		    &g_array_index(records, struct store_record, i);

		if (f->snapshot_keys != NULL && record->value != NULL)
			g_hash_table_add(f->snapshot_keys,
			    g_strdup(record->key));
		f->ops->record(f->owner, record);
	}
}

/* Begins again from a snapshot. */
static void
follow_restart(struct topic_follower *f)
{
	if (f->snapshot_keys != NULL)
		g_hash_table_destroy(f->snapshot_keys);
	f->snapshot_keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_clear_pointer(&f->after, g_free);
}

static void
follow_whole(struct topic_follower *f)
{
	bool known = f->synced;

	if (f->ops->snapshot_done != NULL)
		f->ops->snapshot_done(f->owner, f->snapshot_keys);
	g_hash_table_destroy(f->snapshot_keys);
	f->snapshot_keys = NULL;
	f->next = f->snapshot_end;
	f->synced = true;
	/* Others that are fed have not read this snapshot. */
	if (known && f->ops->advanced != NULL)
		f->ops->advanced(f->owner, MIN(f->read_from, f->next), f->next);
}

static void
on_newest(void *arg, const struct store_response *answer)
{
	struct topic_follower *f = arg;
	const struct store_record *last;

	f->busy = false;
	if (f->stopped)
		return;
	if (answer->result != STORE_OK) {
		follow_restart(f);
		follow_failed(f, answer);
		return;
	}
	if (f->after == NULL)
		f->snapshot_end = answer->end;
	follow_take(f, answer->records);
	if (answer->more && answer->records->len > 0) {
		last = &g_array_index(answer->records, struct store_record,
		    answer->records->len - 1);
		g_free(f->after);
		f->after = g_strdup(last->key);
		follow_ask(f);
		return;
	}
	follow_whole(f);
	follow_proved(f, answer);
	follow_rest(f);
}

static void
on_read(void *arg, const struct store_response *answer)
{
	struct topic_follower *f = arg;

	f->busy = false;
	if (f->stopped)
		return;
	if (answer->result == STORE_TRIMMED) {
		event_log(LOG_NOTICE, "store_trimmed", "topic=%s from=%llu",
		    store_topic_name(f->topic), (unsigned long long)f->next);
		follow_restart(f);
		follow_ask(f);
		return;
	}
	if (answer->result != STORE_OK) {
		follow_failed(f, answer);
		return;
	}
	follow_take(f, answer->records);
	f->next = MAX(f->next, answer->end);
	follow_proved(f, answer);
	/* Peers' news may have come meanwhile, so what was read begins before
	 * what is known now. */
	if (f->ops->advanced != NULL)
		f->ops->advanced(f->owner, f->read_from, f->next);
	follow_rest(f);
}

/* Whether nobody has told of the topic for as long as others' news count. */
static bool
follow_untold(const struct topic_follower *f)
{
	return (f->fallback_ms > 0 && f->peer_update_ms != 0 &&
	    clock_loop_ms(f->loop) >= f->peer_update_ms + f->fallback_ms);
}

/* Asks for the next page or the next records. */
static void
follow_ask(struct topic_follower *f)
{
	const struct store_response none = { .result = STORE_REFUSED };
	bool begun;

	if (f->stopped || f->busy || f->held)
		return;
	uv_timer_stop(&f->timer);
	f->called_ms = clock_loop_ms(f->loop);
	f->relays = f->reader || follow_untold(f);
	if (f->snapshot_due && f->snapshot_keys == NULL)
		follow_restart(f);
	f->snapshot_due = false;
	/* Pages of a snapshot begin where its first did. */
	if (f->snapshot_keys == NULL || f->after == NULL)
		f->read_from = f->next;
	if (f->snapshot_keys != NULL)
		begun = f->store->ops->newest(f->store, f->topic, f->after,
		    on_newest, f);
	else
		begun = f->store->ops->read(f->store, f->topic, f->next,
		    on_read, f);
	f->busy = begun;
	if (!begun)
		follow_failed(f, &none);
}

/**
 * topic_follower_init() - prepare to follow a topic.
 * @f: the follower; the owner sets @wait_ms and @pause_ms
 * @store: the store
 * @loop: the event loop
 * @topic: what to follow
 * @ops: the owner's functions
 * @owner: the owner
 */
void
topic_follower_init(struct topic_follower *f, struct store *store,
    uv_loop_t *loop, enum store_topic topic,
    const struct topic_follower_ops *ops, void *owner)
{
	memset(f, 0, sizeof *f);
	f->store = store;
	f->loop = loop;
	f->topic = topic;
	f->ops = ops;
	f->owner = owner;
	uv_timer_init(loop, &f->timer);
	f->timer.data = f;
	follow_restart(f);
}

/**
 * topic_follower_start() - begin to follow.
 * @f: the follower
 */
void
topic_follower_start(struct topic_follower *f)
{
	follow_ask(f);
}

/**
 * topic_follower_hold() - make no calls for now: hundreds of daemons that start
 * together need not all read what one can tell them.
 * @f: the follower, not started
 */
void
topic_follower_hold(struct topic_follower *f)
{
	f->held = true;
}

/**
 * topic_follower_release() - begin to follow, if that is still to be done.
 * @f: the follower
 */
void
topic_follower_release(struct topic_follower *f)
{
	if (!f->held)
		return;
	f->held = false;
	follow_ask(f);
}

/**
 * topic_follower_resync() - read all anew, as soon as may be.
 * @f: the follower
 */
void
topic_follower_resync(struct topic_follower *f)
{
	f->snapshot_due = true;
	topic_follower_poll(f);
}

/**
 * topic_follower_adopt() - what a peer knew was taken over as a whole.
 * @f: the follower
 * @next: it was complete up to this offset
 * @as_of_ms: loop time
 */
void
topic_follower_adopt(struct topic_follower *f, uint64_t next, uint64_t as_of_ms)
{
	if (f->synced || f->busy)
		return;
	g_clear_pointer(&f->snapshot_keys, g_hash_table_destroy);
	f->held = false;
	f->next = next;
	f->synced = true;
	topic_follower_set_updated(f, as_of_ms);
	follow_rest(f);
}

/**
 * topic_follower_stop() - make no more calls.
 * @f: the follower
 */
void
topic_follower_stop(struct topic_follower *f)
{
	f->stopped = true;
	uv_timer_stop(&f->timer);
}

/**
 * topic_follower_poll() - read now rather than after the pause.
 * @f: the follower
 */
void
topic_follower_poll(struct topic_follower *f)
{
	uint64_t due = f->called_ms + HURRY_LEAST_MS,
		 now = clock_loop_ms(f->loop);
	bool sooner = !uv_is_active((uv_handle_t *)&f->timer) ||
	    uv_timer_get_due_in(&f->timer) > due - MIN(now, due);

	if (!f->synced || f->busy || f->stopped)
		return;
	if (now >= due)
		follow_ask(f);
	else if (sooner)
		uv_timer_start(&f->timer, on_hurry, due - now, 0);
}

/**
 * topic_follower_apply() - take in records that a peer read.
 * @f: the follower
 * @from: the records are all that changed from this offset
 * @end: to this one
 * @records: of struct store_record
 *
 * Return: false where records before @from are missing here.
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
	/* Others leave out what only a reader needs, so it reads that itself:
	 * one that went on from @end missed 8 to 23 of 162 hosts. */
	if (!f->reader || !f->partial)
		f->next = MAX(f->next, end);
	return (true);
}

/**
 * topic_follower_skip() - what is before an offset came by way of a peer.
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
 * topic_follower_set_updated() - peers' news are complete as of a time.
 * @f: the follower
 * @as_of_ms: loop time
 */
void
topic_follower_set_updated(struct topic_follower *f, uint64_t as_of_ms)
{
	f->peer_update_ms = MAX(f->peer_update_ms, as_of_ms);
}

/**
 * topic_follower_set_reader() - begin or end to read for the others.
 * @f: the follower
 * @reader: whether this daemon reads
 */
void
topic_follower_set_reader(struct topic_follower *f, bool reader)
{
	if (f->reader == reader)
		return;
	f->reader = reader;
	event_log(LOG_INFO, "reader_changed", "topic=%s reader=%d",
	    store_topic_name(f->topic), reader);
	if (!reader)
		return;
	f->snapshot_due = f->partial;
	topic_follower_release(f);
	topic_follower_poll(f);
}

/**
 * topic_follower_complete() - whether all that the topic holds is known here.
 * @f: the follower
 */
bool
topic_follower_complete(const struct topic_follower *f)
{
	return (f->synced && f->snapshot_keys == NULL && f->failures == 0 &&
	    !f->snapshot_due && (f->reader || !f->partial));
}

/**
 * topic_follower_overtaken() - whether peers' news came while the store
 * answered.
 * @f: the follower, in the call that gives a record
 *
 * What an answer holds may be known by then here, but not to all others.
 */
bool
topic_follower_overtaken(const struct topic_follower *f)
{
	return (f->snapshot_keys == NULL && f->next > f->read_from);
}

/**
 * topic_follower_age() - age of what is known.
 * @f: the follower
 * @now_ms: loop time
 *
 * Return: milliseconds; very large before the first answer.
 */
uint64_t
topic_follower_age(const struct topic_follower *f, uint64_t now_ms)
{
	if (f->proof_ms == 0)
		return (UINT64_MAX);
	return (now_ms > f->proof_ms ? now_ms - f->proof_ms : 0);
}
