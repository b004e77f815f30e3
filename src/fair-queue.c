/*
 * A bounded queue with weighted fair shares and classes. Requests are served by
 * start-time fair queueing: each customer's requests follow one another in
 * virtual time by 1/weight, so a flood waits behind itself. Interactive
 * requests go before batch ones, which still get one slot in some.
 */
#include <string.h>

#include "fair-queue.h"

/* Requests of one customer that may wait for each slot. */
#define WAITING_PER_SLOT 8
/* A batch request gets the slot after so many interactive ones. */
#define BATCH_TURN 8
/* How long a slot is held, before the first was given back. */
#define FIRST_MEAN_MS 1000
/* Weight of a new time in the moving mean is 1 / 2^MEAN_SHIFT. */
#define MEAN_SHIFT 3

/**
 * fair_queue_init() - begin with all slots free.
 * @q: the queue
 * @slots: requests at once; 0 for any number
 */
void
fair_queue_init(struct fair_queue *q, unsigned slots)
{
	memset(q, 0, sizeof *q);
	q->slots = slots;
	q->mean_ms = FIRST_MEAN_MS;
	TAILQ_INIT(&q->queued[0]);
	TAILQ_INIT(&q->queued[1]);
}

static bool
slot_free(const struct fair_queue *q)
{
	return (q->slots == 0 || q->busy < q->slots);
}

/* Requests that would get their slot before the ticket. */
static unsigned
ahead(const struct fair_queue *q, const struct fair_ticket *t)
{
	const struct fair_ticket *other;
	unsigned n = 0;

	TAILQ_FOREACH(other, &q->queued[0], entry)
		n += t->batch || other->start <= t->start;
	TAILQ_FOREACH(other, &q->queued[1], entry)
		n += t->batch && other->start <= t->start;
	return (n);
}

/* Milliseconds until the ticket would get its slot. */
static uint64_t
wait_ms(const struct fair_queue *q, const struct fair_ticket *t)
{
	if (slot_free(q))
		return (0);
	return ((ahead(q, t) + 1) * q->mean_ms / q->slots);
}

static void
grant(struct fair_queue *q, struct fair_ticket *t)
{
	q->busy++;
	t->granted = true;
	if (t->start > q->virtual_time)
		q->virtual_time = t->start;
}

/* Puts a ticket into its class, in the order of start. */
static void
insert(struct fair_queue *q, struct fair_ticket *t)
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
 * fair_queue_enter() - a request asks for a slot.
 * @q: the queue
 * @t: its ticket, with weight, class and deadline
 * @flow: its customer's flow
 * @now: monotonic milliseconds
 * @retry_ms: set when it is refused: when to come back
 *
 * A request that cannot get a slot before its deadline, or whose customer has
 * too many that wait, is refused at once. A flood fills only its own share of
 * the queue.
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
	wait = wait_ms(q, t);
	if (wait > 0 &&
	    (flow->n_queued >= q->slots * WAITING_PER_SLOT ||
		now + wait >= t->deadline_ms)) {
		*retry_ms = wait;
		return (FAIR_REFUSED);
	}
	flow->finish = t->start + 1.0 / t->weight;
	if (slot_free(q) && q->length == 0) {
		grant(q, t);
		return (FAIR_GRANTED);
	}
	insert(q, t);
	return (FAIR_QUEUED);
}

/* Takes a ticket out of the queue. */
static void
take_out(struct fair_queue *q, struct fair_ticket *t)
{
	TAILQ_REMOVE(&q->queued[t->batch], t, entry);
	t->flow->n_queued--;
	q->length--;
}

/* The class whose turn it is. */
static struct fair_ticket *
next_ticket(struct fair_queue *q)
{
	struct fair_ticket *interactive = TAILQ_FIRST(&q->queued[0]);
	struct fair_ticket *batch = TAILQ_FIRST(&q->queued[1]);

	if (interactive == NULL ||
	    (batch != NULL && q->interactive_grants >= BATCH_TURN)) {
		q->interactive_grants = 0;
		return (batch);
	}
	q->interactive_grants++;
	return (interactive);
}

/**
 * fair_queue_grant_next() - grant a free slot to the request whose turn it is.
 * @q: the queue
 *
 * Return: whether one was granted.
 */
bool
fair_queue_grant_next(struct fair_queue *q)
{
	struct fair_ticket *t;

	if (!slot_free(q) || q->length == 0)
		return (false);
	t = next_ticket(q);
	take_out(q, t);
	grant(q, t);
	return (true);
}

/**
 * fair_queue_release() - a request gives its slot back.
 * @q: the queue
 * @held_ms: how long it had it
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
 * fair_queue_cancel() - a request that waits gives up.
 * @q: the queue
 * @t: its ticket, which has no slot
 */
void
fair_queue_cancel(struct fair_queue *q, struct fair_ticket *t)
{
	take_out(q, t);
}
