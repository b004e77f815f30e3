/*
 * A bounded queue with weighted fair shares and two classes. Reads no clock and
 * takes no locks.
 */
#ifndef BL_FAIR_QUEUE_H
#define BL_FAIR_QUEUE_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stdint.h>

/**
 * struct fair_flow - scheduling state of one customer.
 * @finish: virtual finish time of its latest request
 * @n_queued: number of its requests in the queue
 */
struct fair_flow {
	double finish;
	unsigned n_queued;
};

/**
 * struct fair_ticket - one request that holds a slot or is queued for one.
 * @weight: weight of its customer, at least 1
 * @batch: of class batch; interactive requests go first
 * @deadline_ms: monotonic time of the request's deadline
 * @start: virtual start time, by which requests of a class are ordered
 * @flow: flow of its customer
 * @granted: it holds a slot
 * @entry: link in the queue of its class
 */
struct fair_ticket {
	unsigned weight;
	bool batch;
	uint64_t deadline_ms;
	double start;
	struct fair_flow *flow;
	bool granted;
	TAILQ_ENTRY(fair_ticket) entry;
};

TAILQ_HEAD(fair_ticket_list, fair_ticket);

/**
 * enum fair_verdict - result of fair_queue_enter().
 * @FAIR_GRANTED: the request holds a slot
 * @FAIR_QUEUED: the request waits for a slot
 * @FAIR_REFUSED: the request neither holds a slot nor waits for one
 */
enum fair_verdict {
	FAIR_GRANTED,
	FAIR_QUEUED,
	FAIR_REFUSED,
};

/**
 * struct fair_queue - slots and the requests queued for them.
 * @slots: number of slots; 0 for no bound
 * @busy: slots in use
 * @length: number of queued requests
 * @virtual_time: latest virtual start time of a request granted a slot
 * @mean_ms: moving mean of the time for which a slot is held
 * @interactive_grants: slots granted to queued interactive requests since the
 *	last one granted to a batch request
 * @queued: queued interactive [0] and batch [1] requests, by virtual start time
 */
struct fair_queue {
	unsigned slots;
	unsigned busy;
	unsigned length;
	double virtual_time;
	uint64_t mean_ms;
	unsigned interactive_grants;
	struct fair_ticket_list queued[2];
};

void fair_queue_init(struct fair_queue *, unsigned);
enum fair_verdict fair_queue_enter(struct fair_queue *, struct fair_ticket *,
    struct fair_flow *, uint64_t, uint64_t *);
void fair_queue_release(struct fair_queue *, uint64_t);
void fair_queue_cancel(struct fair_queue *, struct fair_ticket *);
bool fair_queue_grant_next(struct fair_queue *);

#endif
