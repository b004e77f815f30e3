/* One request on its way to an endpoint and its answer on the way back. */
#ifndef BL_FWD_EXCHANGE_H
#define BL_FWD_EXCHANGE_H

#include "fwd-conn.h"
#include "fwd-choose.h"
#include "fwd-events.h"
#include "fwd-fingerprint.h"
#include "fwd.h"

/**
 * enum exchange_state - how far a request is.
 * @EXCHANGE_QUEUED: no endpoint has it
 * @EXCHANGE_SENT: an endpoint has it; nothing was given to the caller
 * @EXCHANGE_RESPONDING: part of the answer was given to the caller
 * @EXCHANGE_DONE: over
 */
enum exchange_state {
	EXCHANGE_QUEUED,
	EXCHANGE_SENT,
	EXCHANGE_RESPONDING,
	EXCHANGE_DONE,
};

/**
 * struct fwd_exchange - one request.
 * @fwd: the engine
 * @conn: whose request; NULL once the caller has left
 * @catalog: the configuration that it was admitted under
 * @route: its route
 * @service: its service
 * @engine: the service's engine, or NULL
 * @model: the model's profile, or NULL
 * @customer: who asks, or NULL
 * @id: of this attempt
 * @fingerprint: fingerprint of what it asks for; 0 until it is admitted
 * @request: the request as sent to every endpoint, up to the headers that
 *	are set for each
 * @body: of the request
 * @head_only: the method is HEAD
 * @prompt: tokens of the prompt
 * @arrived_ms: loop time
 * @arrived_us: for the histograms
 * @deadline_ms: loop time at which it must be over
 * @resubmitted: it was refused before: less of its time is left than a new one
 *has
 * @state: how far it is
 * @endpoint: who has it, or NULL
 * @upstream: connection to the endpoint
 * @sent_ms: when the endpoint got it
 * @expected_ms: when its first event was expected, from then
 * @overhead_ms: part of that which was learned of the model
 * @running_at_send: requests that the endpoint had then
 * @usable_at_send: endpoints that could have had it then
 * @known_at_send: endpoints of the kind that it needs
 * @backlog_at_send: prompt tokens that it had not read then
 * @backlog_mark: the place of this prompt among all sent there
 * @sends: times it was sent
 * @runs: of these, the ones that may have run
 * @reached: the last send may have reached its endpoint
 * @tried: endpoints that had it; but for the one that has it, they failed it
 * @n_tried: how many
 * @status: of the answer being read
 * @headers: its header lines
 * @has_signature: it carries the endpoint's proof
 * @not_run: it says that the request did not run
 * @streaming: it is passed on event by event
 * @events: the stream
 * @response_body: the answer's body, while it is held back
 * @passthrough: the answer outgrew what is held back
 * @first_us: when its first byte was given on; 0 before
 * @heard_ms: loop time of the last byte from the endpoint
 * @in_backlog: counted in the endpoint's prompt tokens
 * @probe: it shows whether the endpoint takes requests again after a rest
 * @has_permit: it took a turn of its endpoint's limit
 * @limit_held_back: counted as held back for want of such a turn
 * @held_back: counted as held back from an endpoint that rests or leaves
 * @resumed: its endpoint was asked for the rest of an answer
 * @poison_probe: it shows whether quarantined work still ends endpoints
 * @crash_suspected: it is suspected of having ended its endpoint, by silence
 * @paused: the endpoint's connection is paused for a slow caller
 * @entry: in the engine's list
 * @queue_entry: in the list of those that wait
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

/* fwd-resolve.c: from a request's head to an exchange. */
bool fwd_resolve(struct fwd_exchange *, const struct wire_request *,
    const char *);

/* fwd-dispatch.c: a request is sent, waits or is refused. */
void fwd_exchange_dispatch(struct fwd_exchange *);

/* fwd-end.c: the ends of an exchange. */
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

/* fwd-response.c: what an endpoint's answer does to an exchange. */
extern const struct net_conn_ops fwd_response_ops;

/* fwd-feedback.c: what an endpoint says of itself. */
void fwd_feedback_apply(struct fwd_exchange *, const struct wire_response *);
void fwd_feedback_check_send(struct fwd_exchange *);
void fwd_endpoint_cool_down(struct fwd_exchange *, uint64_t, const char *);

/* fwd-poison.c: work that ends endpoints. */
void fwd_poison_observe_crash(struct fwd_exchange *, bool);
void fwd_poison_note_success(struct fwd_exchange *);
bool fwd_poison_refuse(struct fwd_exchange *);
void fwd_poison_end_probe(struct fwd_exchange *);

/* How long a silent endpoint rests: the platform reports it broken by then. */
#define COOLDOWN_SILENT_MS 5000

/* fwd-silence.c: endpoints that fall silent. */
void fwd_silence_check(struct fwd_exchange *, uint64_t);

/* fwd-retry.c: whether and how a request is sent once more. */
bool fwd_exchange_retryable(const struct fwd_exchange *);
bool fwd_exchange_movable(const struct fwd_exchange *);
void fwd_exchange_retry(struct fwd_exchange *, const char *);

#endif
