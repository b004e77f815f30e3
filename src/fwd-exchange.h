/* An exchange: a client's request and its response, over one or more sends. */
#ifndef BL_FWD_EXCHANGE_H
#define BL_FWD_EXCHANGE_H

#include "fwd-conn.h"
#include "fwd-fingerprint.h"
#include "fwd-obstacle.h"
#include "fwd-send.h"
#include "fwd.h"

/**
 * enum exchange_state - state of an exchange.
 * @EXCHANGE_QUEUED: queued; no endpoint has the request
 * @EXCHANGE_SENT: an endpoint has it; nothing was passed to the client
 * @EXCHANGE_RESPONDING: part of the response was passed to the client
 * @EXCHANGE_DONE: over, or not queued yet
 */
enum exchange_state {
	EXCHANGE_QUEUED,
	EXCHANGE_SENT,
	EXCHANGE_RESPONDING,
	EXCHANGE_DONE,
};

/**
 * struct fwd_exchange - an exchange.
 * @fwd: the proxy
 * @conn: connection of the client; NULL once the client has left
 * @catalog: the configuration under which the request was routed
 * @route: its route
 * @service: name of its service
 * @engine: the service's engine profile, or NULL
 * @model: the model's profile, or NULL
 * @customer: the customer that sent it, or NULL
 * @id: id of the attempt, as the client named it
 * @keys: what of the request may be to blame for crashes; empty until it is
 *	routed
 * @request: request line and headers that are the same for every endpoint
 * @body: body of the request
 * @head_only: the method is HEAD
 * @priority: its priority, 0 to 9; 0 is the highest
 * @prompt: length of the prompt, in tokens
 * @response_tokens: maximum length of the response, in tokens; 0 if not given
 * @arrived_ms: loop time of the arrival
 * @arrived_us: the same in microseconds of the monotonic clock, for the
 *	histograms
 * @deadline_ms: loop time at which the exchange must be over
 * @resubmitted: the client resubmitted the request after a refusal: less time
 *	is left to it than a new one has
 * @state: state of the exchange
 * @active: its sends that have not ended, the first one first
 * @last: what was known when the newest send was started
 * @sends: number of times the request was sent
 * @runs: number of sends after which it may have run
 * @reached: the send that ended last may have reached its endpoint
 * @tried: endpoints that the request was sent to
 * @n_tried: length of @tried
 * @obstacle: what a queued retry waits for besides a free slot
 * @failed: why the last send failed, for the log
 * @failed_ms: loop time at which it failed
 * @hedge_obstacle: what kept the request from a second send last
 * @hedge_again_ms: loop time before which that isn't tried again
 * @last_event: id of the last event that the client has; -1 before the first
 * @status: status of the response that was passed on, or heard of last
 * @first_us: time at which its first byte was passed on; 0 before
 * @limit_held_back: counted as held back for want of a permit of an endpoint's
 *	rate limit
 * @held_back: counted as held back from an endpoint in backoff or draining
 * @probed: fingerprint of the suspect of which the request probes whether it
 *	still crashes endpoints; 0 for none
 * @gateway: name of the gateway of the send that was noted last; NULL for none
 * @entry: entry in the proxy's list
 * @queue_entry: entry in the queue
 */
struct fwd_exchange {
	struct fwd *fwd;
	struct fwd_conn *conn;
	struct catalog *catalog;
	const struct catalog_route *route;
	const char *service;
	const struct engine_profile *engine;
	const struct model_profile *model;
	const struct catalog_customer *customer;
	char *id;
	struct poison_keys keys;
	GString *request;
	GByteArray *body;
	bool head_only;
	int priority;
	double prompt;
	double response_tokens;
	uint64_t arrived_ms;
	uint64_t arrived_us;
	uint64_t deadline_ms;
	bool resubmitted;
	enum exchange_state state;
	struct fwd_send_list active;
	struct fwd_send_basis last;
	unsigned sends;
	unsigned runs;
	bool reached;
	struct fwd_tried tried[FWD_TRIED_MAX];
	unsigned n_tried;
	enum fwd_obstacle obstacle;
	const char *failed;
	uint64_t failed_ms;
	enum fwd_obstacle hedge_obstacle;
	uint64_t hedge_again_ms;
	int64_t last_event;
	unsigned status;
	uint64_t first_us;
	bool limit_held_back;
	bool held_back;
	uint64_t probed;
	char *gateway;
	TAILQ_ENTRY(fwd_exchange) entry;
	TAILQ_ENTRY(fwd_exchange) queue_entry;
};

void fwd_exchange_start(struct fwd *, struct fwd_conn *);
void fwd_exchange_client_left(struct fwd_exchange *);
void fwd_exchange_pause(struct fwd_exchange *, bool);
void fwd_exchange_criteria(struct fwd_exchange *, struct fwd_criteria *);
void fwd_exchange_send(struct fwd_exchange *, const struct fwd_choice *);
bool fwd_exchange_add_send(struct fwd_exchange *, const struct fwd_choice *);
void fwd_exchange_note_failed(struct fwd_exchange *, const struct endpoint *,
    bool);
void fwd_exchange_note_released(struct fwd_exchange *, const struct endpoint *);
void fwd_exchange_tick(struct fwd_exchange *, uint64_t);

/* fwd-lookup.c: budgets, estimates and bounds. */
struct fwd_estimate *fwd_exchange_estimate(const struct fwd_exchange *);

/* fwd-evidence-collect.c: evidence of endpoints. */
const struct sum_table *fwd_evidence_known(const struct fwd *, uint64_t);

/* fwd-resolve.c: route, customer, service and model of a request. */
bool fwd_resolve(struct fwd_exchange *, const struct wire_request *,
    const char *);

/* fwd-dispatch.c: sends, queues or refuses a request. */
void fwd_exchange_dispatch(struct fwd_exchange *);
void fwd_exchange_enqueue(struct fwd_exchange *);
unsigned fwd_exchange_count_ahead(const struct fwd_exchange *);

/* fwd-sends.c: this daemon's sends, from which those of others are estimated.
 */
void fwd_sends_fill_unseen(const struct fwd_exchange *, uint64_t,
    struct fwd_unseen *);

/* fwd-end.c: end of an exchange. */
void fwd_exchange_refuse(struct fwd_exchange *, unsigned, const char *,
    int64_t);
void fwd_exchange_fail(struct fwd_exchange *, unsigned, const char *);
void fwd_exchange_abort(struct fwd_exchange *, const char *);
void fwd_exchange_give_up(struct fwd_exchange *, unsigned, const char *,
    int64_t);
void fwd_exchange_deliver(struct fwd_exchange *, struct fwd_send *);
void fwd_exchange_finish(struct fwd_exchange *);
void fwd_exchange_free(struct fwd_exchange *);

/* fwd-count.c: counts in the table of demand. */
void fwd_count_asked(struct fwd_exchange *);
void fwd_count_sent(struct fwd_exchange *);
void fwd_count_first(struct fwd_exchange *);
void fwd_count_refused(struct fwd_exchange *, int64_t);
void fwd_count_fill(struct fwd *, struct sum_table *, uint64_t);

/* fwd-keys.c: what of a request may be to blame for crashes of endpoints. */
void fwd_keys_compute(struct fwd_exchange *, const struct wire_prompt *,
    const char *);
uint32_t fwd_keys_name(const struct fwd_exchange *);
char *fwd_keys_format(const struct fwd_exchange *);

/* fwd-poison-refuse.c: requests that may crash endpoints. */
/**
 * struct fwd_poison_refusal - why a request is refused.
 * @reason: reason for the log
 * @retry_ms: time after which the client should retry if it did not run
 */
struct fwd_poison_refusal {
	const char *reason;
	int64_t retry_ms;
};

bool fwd_poison_refuses(struct fwd_exchange *, struct fwd_poison_refusal *);
bool fwd_poison_withdraws(const struct fwd_exchange *,
    struct fwd_poison_refusal *);
void fwd_poison_end_probe(struct fwd_exchange *);

/* fwd-retry.c: retries. */
bool fwd_exchange_retryable(const struct fwd_exchange *);
bool fwd_exchange_released_only(const struct fwd_exchange *);
bool fwd_exchange_withdrawable(const struct fwd_exchange *);
enum fwd_obstacle fwd_exchange_obstacle(const struct fwd_exchange *);
bool fwd_exchange_take_budget(const struct fwd_exchange *);
void fwd_exchange_count_retry(struct fwd_exchange *);
void fwd_exchange_retry(struct fwd_exchange *, const char *);
bool fwd_exchange_recheck(struct fwd_exchange *);
void fwd_exchange_end_wait(struct fwd_exchange *);

/**
 * enum hedge_choice - endpoints that may have a second send.
 * @HEDGE_ANY: any other one
 * @HEDGE_HEARD: one that was heard of a moment ago, as most are silent
 */
enum hedge_choice {
	HEDGE_ANY,
	HEDGE_HEARD,
};

/* fwd-hedge.c: a second send beside one whose endpoint is silent. */
void fwd_hedge(struct fwd_send *, const char *, enum hedge_choice);
void fwd_hedge_settle(struct fwd_send *);

#endif
