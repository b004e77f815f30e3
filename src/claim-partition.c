/*
 * One partition of the claims, with a log stream of its own. A thread takes the
 * operations from the queue, appends them as one record (group commit), reads
 * the stream up to that record, and only then decides them. Any daemon may do
 * so for any partition at any time. Most operations are sent to one daemon,
 * only to save appends and reads.
 */
#include <inttypes.h>
#include <string.h>

#include "claim-partition.h"
#include "cleanup.h"
#include "clock.h"
#include "error.h"
#include "event-log.h"

/* Largest number of operations in one record. */
#define BATCH_MAX 256
/* After a failure of the log, operations are refused at once for this long. */
#define LOG_BACKOFF_MS 500
/* How long reading back the appended record may take. */
#define READ_BACK_TIMEOUT_MS 1500

struct claim_partition {
	GMutex lock;
	GCond work;
	GThread *thread;
	bool stopping;
	struct claim_item_list queue;
	uint64_t backoff_until_ms;
	char *stream;
	uint64_t interval_ms;
	struct log_client *log;
	struct claim_sink sink;
	GMutex index_lock;
	struct claim_index index;
};

/**
 * claim_answer_fill() - set an answer to a verdict.
 * @answer: set; free with xdr_free()
 * @verdict: the verdict
 * @claim: the claim on the id, whose response is copied for CLAIM_DONE; or NULL
 */
void
claim_answer_fill(struct claim_answer *answer, enum claim_verdict verdict,
    const struct claim *claim)
{
	memset(answer, 0, sizeof *answer);
	answer->verdict = verdict;
	if (verdict != CLAIM_DONE || claim == NULL)
		return;
	answer->status = claim->status;
	if (claim->body != NULL) {
		answer->body.body_val = g_strdup(claim->body);
		answer->body.body_len = (unsigned)strlen(claim->body);
	}
}

/* Passes the verdict on an operation to the sink. */
static void
partition_notify(struct claim_partition *p, const struct claim_item *item,
    enum claim_verdict verdict, const struct claim *claim)
{
	struct claim_answer answer;

	claim_answer_fill(&answer, verdict, claim);
	p->sink.decided(p->sink.arg, item, &answer);
	xdr_free((xdrproc_t)xdr_claim_answer, &answer);
}

/*
 * Replays the stream up to an offset, or to its end if the offset is 0. Returns
 * whether it got there in time.
 */
static bool
partition_replay(struct claim_partition *p, uint64_t upto)
{
	uint64_t until_ms = clock_now_ms() + READ_BACK_TIMEOUT_MS;
	g_autoptr(GError) error = NULL;

	while (clock_now_ms() < until_ms) {
		CLEANUP(log_batch_clear) struct log_batch batch = { 0 };

		g_clear_error(&error);
		if (!p->log->ops->read(p->log, p->stream, p->index.next, 0,
			&batch, &error)) {
			if (error->code != ERROR_LOG_TRIMMED)
				return (false);
			p->index.next = batch.first;
			continue;
		}
		g_mutex_lock(&p->index_lock);
		for (guint i = 0; i < batch.records->len; i++) {
			struct log_record *r =
			    &g_array_index(batch.records, struct log_record, i);

			claim_index_apply(&p->index, r->offset, r->json);
		}
		claim_index_expire(&p->index, batch.first);
		g_mutex_unlock(&p->index_lock);
		if (upto == 0 ? p->index.next >= batch.next :
				p->index.next > upto)
			return (true);
	}
	return (false);
}

/* Decides one operation from the index, after its record was read back. */
static void
partition_decide(struct claim_partition *p, const struct claim_item *item)
{
	const struct claim *claim = NULL;
	enum claim_verdict verdict = CLAIM_GRANTED;

	if (item->kind == CLAIM_OP_CLAIM)
		verdict = claim_index_verdict(&p->index, item->id, item->token,
		    item->fingerprint, &claim);
	/* A token that was released meanwhile never gets the id. */
	if (verdict == CLAIM_PENDING)
		verdict = CLAIM_UNAVAILABLE;
	partition_notify(p, item, verdict, claim);
}

/* Encodes a batch as one record. */
static json_t *
batch_record(struct claim_item_list *items)
{
	json_t *ops = json_array();
	struct claim_item *item;

	TAILQ_FOREACH(item, items, entry) {
		json_t *op = claim_op_dump(item->kind, item->id, item->token,
		    item->fingerprint, item->status, item->body);

		/* Without the body: one that is not UTF-8 is not recorded. */
		if (op == NULL)
			op = claim_op_dump(item->kind, item->id, item->token,
			    item->fingerprint, item->status, NULL);
		if (op != NULL)
			json_array_append_new(ops, op);
	}
	return (json_pack("{s:s, s:o}", "kind", "claims", "ops", ops));
}

/*
 * Appends a batch, reads it back and decides its operations. Returns false if
 * the log failed.
 */
static bool
partition_commit(struct claim_partition *p, struct claim_item_list *items)
{
	json_auto_t *record = batch_record(items);
	struct claim_item *item;
	uint64_t offset;
	bool ok;

	ok = p->log->ops->append(p->log, p->stream, record, &offset, NULL) &&
	    partition_replay(p, offset);
	TAILQ_FOREACH(item, items, entry) {
		if (ok)
			partition_decide(p, item);
		else
			partition_notify(p, item, CLAIM_UNAVAILABLE, NULL);
	}
	if (!ok)
		event_log(LOG_WARNING, "claims_log_failed", "stream=%s",
		    p->stream);
	return (ok);
}

/*
 * Takes up to BATCH_MAX operations off the queue; waits for the first. Returns
 * false if the queue is empty and the partition is being freed.
 */
static bool
partition_take(struct claim_partition *p, struct claim_item_list *items)
{
	struct claim_item *item;
	unsigned n = 0;

	TAILQ_INIT(items);
	g_mutex_lock(&p->lock);
	while (TAILQ_EMPTY(&p->queue) && !p->stopping)
		g_cond_wait(&p->work, &p->lock);
	while (n++ < BATCH_MAX && (item = TAILQ_FIRST(&p->queue)) != NULL) {
		TAILQ_REMOVE(&p->queue, item, entry);
		TAILQ_INSERT_TAIL(items, item, entry);
	}
	g_mutex_unlock(&p->lock);
	return (!TAILQ_EMPTY(items));
}

static void
items_free(struct claim_item_list *items)
{
	struct claim_item *item;

	while ((item = TAILQ_FIRST(items)) != NULL) {
		TAILQ_REMOVE(items, item, entry);
		claim_item_free(item);
	}
}

/* Refuses new operations for a while after a failure of the log. */
static void
partition_back_off(struct claim_partition *p)
{
	g_mutex_lock(&p->lock);
	p->backoff_until_ms = clock_now_ms() + LOG_BACKOFF_MS;
	g_mutex_unlock(&p->lock);
}

static void *
partition_run(void *arg)
{
	struct claim_partition *p = arg;
	struct claim_item_list items;
	uint64_t started_ms, spent_ms;

	while (partition_take(p, &items)) {
		started_ms = clock_now_ms();
		if (!partition_commit(p, &items))
			partition_back_off(p);
		items_free(&items);
		spent_ms = clock_now_ms() - started_ms;
		if (spent_ms < p->interval_ms)
			g_usleep((p->interval_ms - spent_ms) * 1000);
	}
	return (NULL);
}

/**
 * claim_partition_create() - create a partition and start its thread.
 * @log: client of the log service
 * @number: number of the partition
 * @interval_ms: minimum time between two appends
 * @sink: receiver of the decisions; copied
 */
struct claim_partition *
claim_partition_create(struct log_client *log, unsigned number,
    uint64_t interval_ms, const struct claim_sink *sink)
{
	struct claim_partition *p;

	p = g_new0(struct claim_partition, 1);
	g_mutex_init(&p->lock);
	g_mutex_init(&p->index_lock);
	g_cond_init(&p->work);
	TAILQ_INIT(&p->queue);
	p->stream = g_strdup_printf("claims-%u", number);
	p->interval_ms = interval_ms;
	p->log = log;
	p->sink = *sink;
	claim_index_init(&p->index);
	p->thread = g_thread_new("claims", partition_run, p);
	return (p);
}

/**
 * claim_partition_free() - process the queued operations, stop the thread and
 * free.
 * @p: the partition
 */
void
claim_partition_free(struct claim_partition *p)
{
	g_mutex_lock(&p->lock);
	p->stopping = true;
	g_cond_signal(&p->work);
	g_mutex_unlock(&p->lock);
	g_thread_join(p->thread);
	claim_index_destroy(&p->index);
	g_mutex_clear(&p->index_lock);
	g_mutex_clear(&p->lock);
	g_cond_clear(&p->work);
	g_free(p->stream);
	g_free(p);
}

/* Whether the same operation is queued already; p->lock is held. */
static bool
partition_queued(struct claim_partition *p, const struct claim_item *item)
{
	struct claim_item *other;

	TAILQ_FOREACH(other, &p->queue, entry) {
		if (other->kind == item->kind &&
		    strcmp(other->token, item->token) == 0)
			return (true);
	}
	return (false);
}

/*
 * Whether the operation is a claim that its token already holds, so that it
 * needs no further record.
 */
static bool
partition_granted(struct claim_partition *p, const struct claim_item *item)
{
	const struct claim *claim;
	bool granted;

	g_mutex_lock(&p->index_lock);
	granted = item->kind == CLAIM_OP_CLAIM &&
	    claim_index_verdict(&p->index, item->id, item->token,
		item->fingerprint, &claim) == CLAIM_GRANTED;
	g_mutex_unlock(&p->index_lock);
	return (granted);
}

/**
 * claim_partition_submit() - queue an operation, unless it is decided already.
 * @p: the partition
 * @item: the operation; ownership is taken
 * @answer: set; free with xdr_free()
 *
 * Does not wait for the log. CLAIM_PENDING means that the sink will be called.
 * During the backoff after a failure of the log, the verdict is
 * CLAIM_UNAVAILABLE at once.
 *
 * Return: the verdict in @answer.
 */
enum claim_verdict
claim_partition_submit(struct claim_partition *p, struct claim_item *item,
    struct claim_answer *answer)
{
	enum claim_verdict verdict = CLAIM_PENDING;

	if (partition_granted(p, item))
		verdict = CLAIM_GRANTED;
	g_mutex_lock(&p->lock);
	if (verdict == CLAIM_PENDING && clock_now_ms() < p->backoff_until_ms)
		verdict = CLAIM_UNAVAILABLE;
	if (verdict == CLAIM_PENDING && !partition_queued(p, item)) {
		TAILQ_INSERT_TAIL(&p->queue, item, entry);
		item = NULL;
		g_cond_signal(&p->work);
	}
	g_mutex_unlock(&p->lock);
	if (item != NULL)
		claim_item_free(item);
	claim_answer_fill(answer, verdict, NULL);
	return (verdict);
}
