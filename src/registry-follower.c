/* Follows a topic of the store, and tracks the age of the local copy. */
#include <string.h>

#include "clock.h"
#include "registry-follower.h"
#include "event-log.h"
#include "random.h"

/* Pause after the first failure, doubled for each further one. */
#define RETRY_MIN_MS 50
/* Longest pause, which bounds how late the end of an outage is noticed. */
#define RETRY_MAX_MS 400
/* Where peers have read the topic lately, the first pause is this part of the
 * time without updates after which this daemon reads, and is doubled so often.
 */
#define RETRY_FALLBACK_PART 2
#define RETRY_DOUBLED_MAX 8
/* Least time between two reads that were requested by topic_follower_poll().
 * With hundreds of hosts something always waits for new records, and each read
 * is a call to the store. */
#define POLL_MIN_MS 50

static void follower_read(struct topic_follower *);
static void follower_schedule(struct topic_follower *, unsigned);

/* Time for which updates from peers make a read unnecessary; 0 for none. */
static unsigned
follower_covered_ms(const struct topic_follower *f)
{
	uint64_t now = clock_loop_ms(f->loop);
	uint64_t until = topic_follower_covered_until(f);

	if (f->reader || f->snapshot_keys != NULL || now >= until)
		return (0);
	return ((unsigned)(until - now));
}

static void
on_timer(uv_timer_t *timer)
{
	struct topic_follower *f = timer->data;
	unsigned covered = follower_covered_ms(f);

	/* After a failure it is found out whether the store answers this daemon
	 * again, also while others read: it may have to read for them. */
	if (covered > 0 && !f->snapshot_due && f->failures == 0)
		follower_schedule(f, covered);
	else
		follower_read(f);
}

static void
on_poll_timer(uv_timer_t *timer)
{
	follower_read(timer->data);
}

static void
follower_schedule(struct topic_follower *f, unsigned ms)
{
	if (!f->stopped)
		uv_timer_start(&f->timer, on_timer, ms, 0);
}

/* Schedules the next read as late as the interval and peers' updates allow. */
static void
follower_schedule_next(struct topic_follower *f)
{
	unsigned covered = follower_covered_ms(f);

	if (f->snapshot_due)
		follower_schedule(f, POLL_MIN_MS);
	else if (covered > 0 || f->interval_ms > 0)
		follower_schedule(f, MAX(covered, f->interval_ms));
	else
		follower_read(f);
}

/*
 * Pause after a failure where this daemon does not read for others. If peers
 * have read the topic lately, the store answers, and only a few daemons lack
 * what these have read: the pause begins short and grows. Otherwise the reader
 * notices the end of the outage for the others.
 */
static unsigned
follower_retry_ms(const struct topic_follower *f)
{
	uint64_t now = clock_loop_ms(f->loop);
	uint64_t base_ms = f->fallback_ms / RETRY_FALLBACK_PART;

	if (f->fallback_ms == 0 || f->peer_read_ms == 0 ||
	    now >= f->peer_read_ms + f->fallback_ms)
		return (f->retry_ms);
	base_ms <<= MIN(f->failures, RETRY_DOUBLED_MAX);
	/* Daemons that failed together don't try again together. */
	return ((unsigned)MIN(base_ms / 2 + random_below((uint32_t)base_ms + 1),
	    f->retry_ms));
}

/* Counts a failure, logs the first of a row and schedules a retry. */
static void
follower_failed(struct topic_follower *f, const struct store_response *response)
{
	unsigned pause = RETRY_MIN_MS;

	if (f->failures == 0)
		event_log(LOG_WARNING, "store_lost",
		    "topic=%s result=%s status=%u age_ms=%llu",
		    store_topic_name(f->topic),
		    store_result_name(response->result), response->status,
		    (unsigned long long)topic_follower_age(f,
			clock_loop_ms(f->loop)));
	for (unsigned i = 0; i < f->failures && pause < RETRY_MAX_MS; i++)
		pause *= 2;
	pause = MIN(pause, RETRY_MAX_MS);
	if (!f->reader)
		pause = MAX(pause, follower_retry_ms(f));
	f->failures++;
	if (f->ops->failed != NULL)
		f->ops->failed(f->owner);
	follower_schedule(f, pause);
}

/* Notes that the store answers, before what it answered is used. */
static void
follower_answered(struct topic_follower *f, uint64_t sent_ms)
{
	if (f->failures > 0)
		event_log(LOG_NOTICE, "store_regained",
		    "topic=%s failures=%u age_ms=%llu",
		    store_topic_name(f->topic), f->failures,
		    (unsigned long long)topic_follower_age(f,
			clock_loop_ms(f->loop)));
	f->failures = 0;
	topic_follower_begin_records(f, sent_ms);
}

/* Notes that the local copy is current as of a time. */
static void
follower_succeeded(struct topic_follower *f, uint64_t as_of_ms)
{
	f->more = false;
	f->proof_ms = MAX(f->proof_ms, as_of_ms);
}

/* Passes records to the owner, and collects the keys of a snapshot. */
static void
follower_pass_records(struct topic_follower *f, const GArray *records)
{
	for (guint i = 0; i < records->len; i++) {
		const struct store_record *record =
		    &g_array_index(records, struct store_record, i);

		if (f->snapshot_keys != NULL && record->value != NULL)
			g_hash_table_add(f->snapshot_keys,
			    g_strdup(record->key));
		topic_follower_pass(f, record);
	}
}

/* Starts to read a snapshot from its first page. */
static void
follower_restart(struct topic_follower *f)
{
	if (f->snapshot_keys != NULL)
		g_hash_table_destroy(f->snapshot_keys);
	f->snapshot_keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_clear_pointer(&f->after, g_free);
	f->peer_end = 0;
}

/*
 * Continues after a snapshot. Daemons that follow peers have not read it. What
 * it changes here tells them what is new since the topic was known here; if
 * peers have passed records on meanwhile, they are ahead of that, so that what
 * is new to them is read again, record by record.
 */
static void
follower_continue(struct topic_follower *f, bool known)
{
	bool overtaken = known && f->peer_end > f->read_from &&
	    f->peer_end < f->snapshot_end;

	f->next = overtaken ? f->peer_end : f->snapshot_end;
	topic_follower_advance(f, f->next);
	f->synced = true;
	if (known && !overtaken && f->ops->advanced != NULL)
		f->ops->advanced(f->owner, MIN(f->read_from, f->snapshot_end),
		    f->snapshot_end);
}

static void
follower_finish_snapshot(struct topic_follower *f)
{
	if (f->ops->snapshot_done != NULL)
		f->ops->snapshot_done(f->owner, f->snapshot_keys);
	g_hash_table_destroy(f->snapshot_keys);
	f->snapshot_keys = NULL;
	follower_continue(f, f->synced);
}

static void
on_snapshot_page(void *arg, const struct store_response *response)
{
	struct topic_follower *f = arg;
	const struct store_record *last;

	f->busy = false;
	if (f->stopped)
		return;
	if (response->result != STORE_OK) {
		follower_restart(f);
		follower_failed(f, response);
		return;
	}
	if (f->after == NULL) {
		f->snapshot_end = response->end;
		f->snapshot_ms = response->sent_ms;
	}
	follower_answered(f, response->sent_ms);
	f->records_ms = f->snapshot_ms;
	follower_pass_records(f, response->records);
	if (response->more && response->records->len > 0) {
		last = &g_array_index(response->records, struct store_record,
		    response->records->len - 1);
		g_free(f->after);
		f->after = g_strdup(last->key);
		follower_read(f);
		return;
	}
	/* A record of an earlier page may have changed since. */
	follower_succeeded(f, f->snapshot_ms);
	follower_finish_snapshot(f);
	if (f->next < f->snapshot_end)
		follower_read(f);
	else
		follower_schedule_next(f);
}

static void
on_records(void *arg, const struct store_response *response)
{
	struct topic_follower *f = arg;

	f->busy = false;
	if (f->stopped)
		return;
	if (response->result == STORE_TRIMMED) {
		event_log(LOG_NOTICE, "store_trimmed", "topic=%s from=%llu",
		    store_topic_name(f->topic), (unsigned long long)f->next);
		follower_answered(f, response->sent_ms);
		follower_restart(f);
		follower_read(f);
		return;
	}
	if (response->result != STORE_OK) {
		follower_failed(f, response);
		return;
	}
	follower_answered(f, response->sent_ms);
	follower_pass_records(f, response->records);
	topic_follower_advance(f, response->end);
	/* Records that follow those of the response are not known, so it proves
	 * nothing about the newest ones. */
	if (response->more)
		f->more = true;
	else
		follower_succeeded(f, response->sent_ms);
	/* Updates from peers may have moved f->next during the read, so the
	 * range is that of the read. */
	if (f->ops->advanced != NULL)
		f->ops->advanced(f->owner, f->read_from, response->end);
	if (f->more && f->next > f->read_from)
		follower_read(f);
	else
		follower_schedule_next(f);
}

/* Whether the last update from peers is older than the fallback time. */
static bool
follower_lacks_updates(const struct topic_follower *f)
{
	uint64_t until = topic_follower_covered_until(f);

	return (until != 0 && clock_loop_ms(f->loop) >= until);
}

/* Reads the next page of the snapshot, or the next records. */
static void
follower_read(struct topic_follower *f)
{
	const struct store_response none = { .result = STORE_REFUSED };
	bool started;

	if (f->stopped || f->busy || f->held)
		return;
	uv_timer_stop(&f->timer);
	f->called_ms = clock_loop_ms(f->loop);
	f->relays = f->reader || follower_lacks_updates(f);
	if (f->snapshot_due && f->snapshot_keys == NULL)
		follower_restart(f);
	f->snapshot_due = false;
	/* All pages of a snapshot have the start offset of the first. */
	if (f->snapshot_keys == NULL || f->after == NULL)
		f->read_from = f->next;
	if (f->snapshot_keys != NULL)
		started = f->store->ops->newest(f->store, f->topic, f->after,
		    on_snapshot_page, f);
	else
		started = f->store->ops->read(f->store, f->topic, f->next,
		    on_records, f);
	f->busy = started;
	if (!started)
		follower_failed(f, &none);
}

/**
 * topic_follower_init() - prepare to follow a topic.
 * @f: the follower; the owner sets its @interval_ms and @fallback_ms
 * @store: the store
 * @loop: the event loop
 * @topic: the topic to follow
 * @ops: the owner's callbacks
 * @owner: argument of the callbacks
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
	topic_follower_init_copy(f);
	follower_restart(f);
}

/**
 * topic_follower_start() - start to follow the topic.
 * @f: the follower
 */
void
topic_follower_start(struct topic_follower *f)
{
	follower_read(f);
}

/**
 * topic_follower_hold() - make no calls for now.
 * @f: the follower, not started
 *
 * Of hundreds of daemons that start together only one has to read the store;
 * the others get a snapshot from it.
 */
void
topic_follower_hold(struct topic_follower *f)
{
	f->held = true;
}

/**
 * topic_follower_release() - start to follow the topic if calls were held back.
 * @f: the follower
 */
void
topic_follower_release(struct topic_follower *f)
{
	if (!f->held)
		return;
	f->held = false;
	follower_read(f);
}

/**
 * topic_follower_resync() - read a whole snapshot as soon as possible.
 * @f: the follower
 */
void
topic_follower_resync(struct topic_follower *f)
{
	f->snapshot_due = true;
	topic_follower_poll(f);
}

/**
 * topic_follower_adopt() - continue from a peer's snapshot that the owner has
 * applied; without effect after an own snapshot or while one is read.
 * @f: the follower
 * @next: offset up to which the snapshot was complete
 * @as_of_ms: loop time as of which it was
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
	follower_schedule_next(f);
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
 * topic_follower_clear() - free the follower's memory, after the loop has
 * ended.
 * @f: the follower
 */
void
topic_follower_clear(struct topic_follower *f)
{
	g_clear_pointer(&f->snapshot_keys, g_hash_table_destroy);
	g_clear_pointer(&f->ahead_offsets, g_hash_table_destroy);
	g_clear_pointer(&f->after, g_free);
}

/**
 * topic_follower_poll() - read as soon as possible rather than after the pause.
 * @f: the follower
 */
void
topic_follower_poll(struct topic_follower *f)
{
	uint64_t due = f->called_ms + POLL_MIN_MS, now = clock_loop_ms(f->loop);
	bool sooner = !uv_is_active((uv_handle_t *)&f->timer) ||
	    uv_timer_get_due_in(&f->timer) > due - MIN(now, due);

	if (!f->synced || f->busy || f->stopped)
		return;
	if (now >= due)
		follower_read(f);
	else if (sooner)
		uv_timer_start(&f->timer, on_poll_timer, due - now, 0);
}

/**
 * topic_follower_set_reader() - start or stop reading on behalf of the others.
 * @f: the follower
 * @reader: whether this daemon is the reader
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
