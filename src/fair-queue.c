/*
 * A bounded queue with weighted fair shares and two classes. Requests are
 * ordered by start-time fair queueing: in virtual time, the requests of one
 * customer are 1/weight apart, so that a customer that sends too many delays
 * only its own. Interactive requests go before batch requests, which still get
 * one slot after every INTERACTIVE_PER_BATCH interactive ones.
 */
#include <string.h>

#include "fair-queue.h"

/* Most queued requests of one customer, per slot. */
#define QUEUED_PER_SLOT 8
/* Interactive requests granted a slot before a queued batch request. */
#define INTERACTIVE_PER_BATCH 8
/* Assumed time for which a slot is held, until the first is released. */
#define INITIAL_MEAN_MS 1000
/* A new sample has the weight 1 / 2^MEAN_SHIFT in the moving mean. */
#define MEAN_SHIFT 3

/**
 * fair_queue_init() - initialize an empty queue with all slots free.
 * @q: the queue
 * @slots: number of slots; 0 for no bound
 */
void
fair_queue_init(struct fair_queue *q, unsigned slots)
{
	memset(q, 0, sizeof *q);
	q->slots = slots;
	q->mean_ms = INITIAL_MEAN_MS;
	TAILQ_INIT(&q->queued[0]);
	TAILQ_INIT(&q->queued[1]);
}

static bool
has_free_slot(const struct fair_queue *q)
{
	return (q->slots == 0 || q->busy < q->slots);
}

/* Counts the queued requests that would be granted a slot before @t. */
static unsigned
count_ahead(const struct fair_queue *q, const struct fair_ticket *t)
{
	const struct fair_ticket *other;
	unsigned n = 0;

	TAILQ_FOREACH(other, &q->queued[0], entry)
		n += t->batch || other->start <= t->start;
	TAILQ_FOREACH(other, &q->queued[1], entry)
		n += t->batch && other->start <= t->start;
	return (n);
}

/* Expected time until @t would be granted a slot, in ms. */
static uint64_t
expected_wait_ms(const struct fair_queue *q, const struct fair_ticket *t)
{
	if (has_free_slot(q))
		return (0);
	return ((count_ahead(q, t) + 1) * q->mean_ms / q->slots);
}

static void
grant_slot(struct fair_queue *q, struct fair_ticket *t)
{
	q->busy++;
	t->granted = true;
	if (t->start > q->virtual_time)
		q->virtual_time = t->start;
}

/* Adds a request to the queue of its class, ordered by virtual start time. */
static void
enqueue(struct fair_queue *q, struct fair_ticket *t)
{
	struct fair_ticket_list *list = &q->queued[t->batch];
	struct fair_ticket *other;

	q->length++;
	t->flow->n_queued++;
	TAILQ_FOREACH_REVERSE(other, list, fair_ticket_list, entry)
	{
		if (other->start <= t->start) {
			TAILQ_INSERT_AFTER(list, other, t, entry);
			return;
		}
	}
	TAILQ_INSERT_HEAD(list, t, entry);
}

/**
 * fair_queue_enter() - grant a request a slot, queue it or refuse it.
 * @q: the queue
 * @t: ticket of the request; weight, class and deadline are set
 * @flow: flow of the request's customer
 * @now: monotonic time, in ms
 * @retry_ms: set if the request is refused: time after which to retry
 *
 * A request is refused at once if it is not expected to get a slot before its
 * deadline or if its customer has too many requests queued, so that a customer
 * fills only its own share of the queue.
 */
enum fair_verdict
fair_queue_enter(struct fair_queue *q, struct fair_ticket *t,
    struct fair_flow *flow, uint64_t now, uint64_t *retry_ms)
{
	uint64_t wait;

	t->granted = false;
	t->flow = flow;
	t->start =
	    flow->finish > q->virtual_time ? flow->finish : q->virtual_time;
	wait = expected_wait_ms(q, t);
	if (wait > 0 &&
	    (flow->n_queued >= q->slots * QUEUED_PER_SLOT ||
		now + wait >= t->deadline_ms)) {
		*retry_ms = wait;
		return (FAIR_REFUSED);
	}
	flow->finish = t->start + 1.0 / t->weight;
	if (has_free_slot(q) && q->length == 0) {
		grant_slot(q, t);
		return (FAIR_GRANTED);
	}
	enqueue(q, t);
	return (FAIR_QUEUED);
}

/* Removes a request from the queue. */
static void
dequeue(struct fair_queue *q, struct fair_ticket *t)
{
	TAILQ_REMOVE(&q->queued[t->batch], t, entry);
	t->flow->n_queued--;
	q->length--;
}

/* Picks the queued request that is granted the next slot. */
static struct fair_ticket *
pick_next(struct fair_queue *q)
{
	struct fair_ticket *interactive = TAILQ_FIRST(&q->queued[0]);
	struct fair_ticket *batch = TAILQ_FIRST(&q->queued[1]);

	if (interactive == NULL ||
	    (batch != NULL && q->interactive_grants >= INTERACTIVE_PER_BATCH)) {
		q->interactive_grants = 0;
		return (batch);
	}
	q->interactive_grants++;
	return (interactive);
}

/**
 * fair_queue_grant_next() - grant a free slot to the next queued request.
 * @q: the queue
 *
 * Return: whether a slot was granted.
 */
bool
fair_queue_grant_next(struct fair_queue *q)
{
	struct fair_ticket *t;

	if (!has_free_slot(q) || q->length == 0)
		return (false);
	t = pick_next(q);
	dequeue(q, t);
	grant_slot(q, t);
	return (true);
}

/**
 * fair_queue_release() - release a slot, without granting it.
 * @q: the queue
 * @held_ms: time for which the slot was held
 */
void
fair_queue_release(struct fair_queue *q, uint64_t held_ms)
{
	q->busy--;
	q->mean_ms =
	    q->mean_ms - (q->mean_ms >> MEAN_SHIFT) + (held_ms >> MEAN_SHIFT);
	if (q->mean_ms == 0)
		q->mean_ms = 1;
}

/**
 * fair_queue_cancel() - remove a request that no longer waits.
 * @q: the queue
 * @t: its ticket, which is queued and holds no slot
 */
void
fair_queue_cancel(struct fair_queue *q, struct fair_ticket *t)
{
	dequeue(q, t);
}
