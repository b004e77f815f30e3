/* An exchange: a client's request and its response, over one or more sends. */
#ifndef BL_FWD_EXCHANGE_H
#define BL_FWD_EXCHANGE_H

#include "fwd-conn.h"
#include "fwd-choose.h"
#include "fwd-events.h"
#include "fwd-fingerprint.h"
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
 * @fingerprint: fingerprint of the request; 0 until it is routed
 * @request: request line and headers that are the same for every endpoint
 * @body: body of the request
 * @head_only: the method is HEAD
 * @priority: its priority, 0 to 9; 0 is the highest
 * @prompt: length of the prompt, in tokens
 * @arrived_ms: loop time of the arrival
 * @arrived_us: the same in microseconds of the monotonic clock, for the
 *	histograms
 * @deadline_ms: loop time at which the exchange must be over
 * @resubmitted: the client resubmitted the request after a refusal: less time
 *	is left to it than a new one has
 * @state: state of the exchange
 * @endpoint: the endpoint that has the request, or NULL
 * @upstream: connection to the endpoint, or NULL
 * @sent_ms: loop time of the last send
 * @expected_ms: expected time from the send to the first event
 * @overhead_ms: the part of @expected_ms that is measured overhead
 * @correction_ms: the part of @expected_ms that is due to evidence
 * @silence_ms: @expected_ms without what is due to overdue first events of
 *	other requests, which are a sign of silence
 * @running_at_send: requests that the endpoint had at the send
 * @usable_at_send: endpoints that could have had the request at the send
 * @known_at_send: endpoints that matched at the send, usable or not
 * @backlog_at_send: the endpoint's prefill backlog at the send, in tokens
 * @backlog_mark: position of the prompt in that backlog, for
 *	fwd_backlog_confirm()
 * @sends: number of times the request was sent
 * @runs: number of sends after which it may have run
 * @reached: the last send may have reached its endpoint
 * @tried: endpoints that the request was sent to; all but @endpoint failed it
 * @n_tried: length of @tried
 * @status: status of the response being read
 * @headers: header lines of the response
 * @has_signature: the response has the endpoint's signature header
 * @not_run: the response says that the request did not run
 * @streaming: the response is passed on event by event
 * @events: events of the response
 * @response_body: body of the response while it is buffered
 * @passthrough: the response is passed on unbuffered, since it is too large
 * @first_us: time at which its first byte was passed on; 0 before
 * @heard_ms: loop time of the last byte from the endpoint
 * @in_backlog: the prompt is counted in the endpoint's prefill backlog
 * @probe: the send probes whether the endpoint accepts requests again after a
 *	backoff
 * @has_permit: the send has a permit of the endpoint's rate limit
 * @limit_held_back: counted as held back for want of such a permit
 * @held_back: counted as held back from an endpoint in backoff or draining
 * @resumed: the endpoint was asked for the remainder of a response
 * @poison_probe: the request probes whether a quarantined fingerprint still
 *	crashes endpoints
 * @crash_suspected: the fingerprint was reported as a suspect since the
 *	endpoint fell silent
 * @path_doubted: its path to the endpoint may be lost: its silence tells
 *	nothing about the endpoint
 * @gateway: name of the gateway of its last send; NULL for none
 * @paused: reading from the endpoint is paused for a slow client
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
	uint64_t fingerprint;
	GString *request;
	GByteArray *body;
	bool head_only;
	int priority;
	double prompt;
	uint64_t arrived_ms;
	uint64_t arrived_us;
	uint64_t deadline_ms;
	bool resubmitted;
	enum exchange_state state;
	struct endpoint *endpoint;
	struct net_conn *upstream;
	uint64_t sent_ms;
	double expected_ms;
	double overhead_ms;
	double correction_ms;
	double silence_ms;
	unsigned running_at_send;
	unsigned usable_at_send;
	unsigned known_at_send;
	double backlog_at_send;
	double backlog_mark;
	unsigned sends;
	unsigned runs;
	bool reached;
	struct fwd_tried tried[FWD_TRIED_MAX];
	unsigned n_tried;
	unsigned status;
	GString *headers;
	bool has_signature;
	bool not_run;
	bool streaming;
	struct fwd_events events;
	GByteArray *response_body;
	bool passthrough;
	uint64_t first_us;
	uint64_t heard_ms;
	bool in_backlog;
	bool probe;
	bool has_permit;
	bool limit_held_back;
	bool held_back;
	bool resumed;
	bool poison_probe;
	bool crash_suspected;
	bool path_doubted;
	char *gateway;
	bool paused;
	TAILQ_ENTRY(fwd_exchange) entry;
	TAILQ_ENTRY(fwd_exchange) queue_entry;
};

void fwd_exchange_start(struct fwd *, struct fwd_conn *);
void fwd_exchange_client_left(struct fwd_exchange *);
void fwd_exchange_pause(struct fwd_exchange *, bool);
void fwd_exchange_criteria(const struct fwd_exchange *, struct fwd_criteria *);
void fwd_exchange_send(struct fwd_exchange *, const struct fwd_choice *);
void fwd_exchange_tick(struct fwd_exchange *, uint64_t);
void fwd_exchange_move(struct fwd_exchange *, bool, const char *);
struct fwd_estimate *fwd_exchange_estimate(const struct fwd_exchange *);
void fwd_exchange_end_send(struct fwd_exchange *, bool);

/* fwd-evidence-collect.c: evidence of endpoints. */
const struct sum_table *fwd_evidence_known(const struct fwd *, uint64_t);
void fwd_exchange_note_first(const struct fwd_exchange *, uint64_t);
void fwd_exchange_note_overdue(const struct fwd_exchange *, uint64_t);
double fwd_exchange_lateness_ms(const struct fwd_exchange *, uint64_t);

/* fwd-resolve.c: route, customer, service and model of a request. */
bool fwd_resolve(struct fwd_exchange *, const struct wire_request *,
    const char *);

/* fwd-dispatch.c: sends, queues or refuses a request. */
void fwd_exchange_dispatch(struct fwd_exchange *);

/* fwd-sends.c: this daemon's sends, from which those of others are estimated.
 */
void fwd_sends_count(const struct fwd_exchange *);
void fwd_sends_fill_unseen(const struct fwd_exchange *, uint64_t,
    struct fwd_unseen *);

/* fwd-end.c: end of an exchange. */
void fwd_exchange_refuse(struct fwd_exchange *, unsigned, const char *,
    int64_t);
void fwd_exchange_fail(struct fwd_exchange *, unsigned, const char *);
void fwd_exchange_abort(struct fwd_exchange *, const char *);
void fwd_exchange_give_up(struct fwd_exchange *, unsigned, const char *,
    int64_t);
void fwd_exchange_deliver(struct fwd_exchange *);
void fwd_exchange_finish(struct fwd_exchange *);
void fwd_exchange_free(struct fwd_exchange *);
void fwd_exchange_release(struct fwd_exchange *);
void fwd_exchange_drop_response(struct fwd_exchange *);

/* fwd-count.c: counts in the table of demand. */
void fwd_count_asked(struct fwd_exchange *);
void fwd_count_sent(struct fwd_exchange *);
void fwd_count_first(struct fwd_exchange *);
void fwd_count_refused(struct fwd_exchange *, int64_t);
void fwd_count_fill(struct fwd *, struct sum_table *, uint64_t);

/* fwd-response.c: response of an endpoint. */
extern const struct net_conn_ops fwd_response_ops;

/* fwd-feedback.c: feedback of an endpoint about itself. */
void fwd_feedback_apply(struct fwd_exchange *, const struct wire_response *);
void fwd_feedback_check_send(struct fwd_exchange *);
void fwd_endpoint_cool_down(struct fwd_exchange *, uint64_t, const char *);

/* fwd-poison.c: requests that crash endpoints. */
void fwd_poison_observe_crash(struct fwd_exchange *, bool);
void fwd_poison_note_success(struct fwd_exchange *);
bool fwd_poison_refuse(struct fwd_exchange *);
void fwd_poison_end_probe(struct fwd_exchange *);

/* How long a silent endpoint is avoided: by then the platform has reported it
 * broken. */
#define COOLDOWN_SILENT_MS 5000

/* fwd-silence.c: detection of silent endpoints. */
void fwd_silence_check(struct fwd_exchange *, uint64_t);
void fwd_silence_check_connect(struct fwd_exchange *, uint64_t);
double fwd_silence_connect_ms(bool, double, unsigned);
bool fwd_silence_unheard(const struct endpoint *, uint64_t);

/**
 * enum fwd_path_verdict - what is known of the path of an exchange.
 * @FWD_PATH_SOUND: nothing speaks against it
 * @FWD_PATH_UNKNOWN: it is being checked
 * @FWD_PATH_LOST: it is lost, while the endpoint may be sound
 */
enum fwd_path_verdict {
	FWD_PATH_SOUND,
	FWD_PATH_UNKNOWN,
	FWD_PATH_LOST,
};

/* fwd-path.c: whether an exchange waits because its path is lost. */
enum fwd_path_verdict fwd_path_judge(const struct fwd_exchange *, uint64_t);
bool fwd_path_doubted(const struct endpoint *);
void fwd_path_note(struct fwd_exchange *);

/* fwd-retry.c: retries. */
bool fwd_exchange_retryable(const struct fwd_exchange *);
bool fwd_exchange_movable(const struct fwd_exchange *);
void fwd_exchange_retry(struct fwd_exchange *, const char *);

#endif
