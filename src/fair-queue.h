/* A bounded queue with weighted fair shares and classes. Pure decisions. */
#ifndef BL_FAIR_QUEUE_H
#define BL_FAIR_QUEUE_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stdint.h>

/**
 * struct fair_flow - one customer's place in the order of service.
 * @finish: virtual time at which its latest request would end
 * @n_queued: its requests that wait
 */
struct fair_flow {
	double finish;
	unsigned n_queued;
};

/**
 * struct fair_ticket - one request that has or waits for a slot.
 * @weight: share of its customer, at least 1
 * @batch: of class batch; interactive ones go first
 * @deadline_ms: monotonic time at which its time is up
 * @start: virtual time at which its turn comes
 * @flow: its customer's place
 * @granted: it has a slot
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

enum fair_verdict {
	FAIR_GRANTED,
	FAIR_QUEUED,
	FAIR_REFUSED,
};

/**
 * struct fair_queue - the slots and who waits for them.
 * @slots: requests at once; 0 for any number
 * @busy: slots taken
 * @length: requests that wait
 * @virtual_time: start of the request that was granted last
 * @mean_ms: moving mean of how long a slot is held
 * @interactive_grants: slots granted to interactive requests since the last
 * batch one
 * @queued: interactive and batch requests, each by @start
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
