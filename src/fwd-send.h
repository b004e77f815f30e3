/* A send: the request of an exchange at one endpoint, and the response. */
#ifndef BL_FWD_SEND_H
#define BL_FWD_SEND_H

#include <sys/queue.h>

#include "fwd-choose.h"
#include "fwd-events.h"
#include "net-conn.h"

struct fwd_exchange;
struct fwd_send;
TAILQ_HEAD(fwd_send_list, fwd_send);

/**
 * struct fwd_send_basis - what was known when a send was started.
 * @sent_ms: loop time
 * @expected_ms: expected time from the send to the first event
 * @overhead_ms: the part of @expected_ms that is measured overhead
 * @correction_ms: the part of @expected_ms that is due to evidence
 * @silence_ms: @expected_ms without what is due to overdue first events of
 *	other requests, which are a sign of silence
 * @running: requests that the endpoint had
 * @usable: endpoints that could have had the request
 * @known: endpoints that matched, usable or not
 * @backlog: the endpoint's prefill backlog, in tokens
 */
struct fwd_send_basis {
	uint64_t sent_ms;
	double expected_ms;
	double overhead_ms;
	double correction_ms;
	double silence_ms;
	unsigned running;
	unsigned usable;
	unsigned known;
	double backlog;
};

/**
 * struct fwd_send - a send. It has a slot at its endpoint until it ends.
 * @exchange: the exchange
 * @endpoint: the endpoint
 * @conn: connection to the endpoint; NULL once the response is complete or the
 *	connection is lost
 * @basis: what was known when it was started
 * @backlog_mark: position of the prompt in the endpoint's prefill backlog, for
 *	fwd_backlog_confirm()
 * @in_backlog: the prompt is counted in that backlog
 * @reached: it may have reached the endpoint
 * @probe: it probes whether the endpoint accepts requests again after a backoff
 * @has_permit: it has a permit of the endpoint's rate limit
 * @resumed: the endpoint was asked for the remainder of a response
 * @status: status of the response
 * @headers: header lines of the response
 * @has_signature: the response has the endpoint's signature header
 * @not_run: the response says that the request did not run
 * @streaming: the response is passed on event by event
 * @events: events of the response
 * @events_held: bytes of their buffer that are counted as held for clients
 * @body: body of the response while it is buffered
 * @passthrough: the response is passed on unbuffered, since it is too large
 * @heard_ms: loop time of the last byte from the endpoint
 * @event_ms: loop time of the last events of a stream; 0 before the first
 * @writing_ms: for how long the endpoint sent events of the stream, up to
 *	the time from which on they show that it survives the prompt
 * @found_silent: its endpoint was silent when it was last checked
 * @was_silent: it was so at any check
 * @path_lost: the path to the endpoint was lost when it was last checked
 * @crash_suspected: what may be to blame was reported since the endpoint fell
 *	silent
 * @path_doubted: its path to the endpoint may be lost: its silence tells
 *	nothing about the endpoint
 * @paused: reading from the endpoint is paused for a slow client
 * @entry: entry in the exchange's list of active sends
 */
struct fwd_send {
	struct fwd_exchange *exchange;
	struct endpoint *endpoint;
	struct net_conn *conn;
	struct fwd_send_basis basis;
	double backlog_mark;
	bool in_backlog;
	bool reached;
	bool probe;
	bool has_permit;
	bool resumed;
	unsigned status;
	GString *headers;
	bool has_signature;
	bool not_run;
	bool streaming;
	struct fwd_events events;
	size_t events_held;
	GByteArray *body;
	bool passthrough;
	uint64_t heard_ms;
	uint64_t event_ms;
	uint64_t writing_ms;
	bool found_silent;
	bool was_silent;
	bool path_lost;
	bool crash_suspected;
	bool path_doubted;
	bool paused;
	TAILQ_ENTRY(fwd_send) entry;
};

struct fwd_send *fwd_send_start(struct fwd_exchange *,
    const struct fwd_choice *);
void fwd_send_note_reached(struct fwd_send *, bool);
void fwd_send_free(struct fwd_send *);
bool fwd_send_other(const struct fwd_send *);
bool fwd_send_count_events(struct fwd_send *);
void fwd_send_fail(struct fwd_send *, const char *);
void fwd_send_withdraw(struct fwd_send *, bool, const char *);
void fwd_send_pause(struct fwd_send *, bool);
void fwd_send_drop_body(struct fwd_send *);
void fwd_send_check(struct fwd_send *, uint64_t);

/* fwd-response.c: response of an endpoint. */
extern const struct net_conn_ops fwd_response_ops;

/* fwd-feedback.c: feedback of an endpoint about itself. */
struct wire_response;
void fwd_feedback_apply(struct fwd_send *, const struct wire_response *);
void fwd_feedback_check_send(struct fwd_send *);
void fwd_endpoint_cool_down(struct fwd_send *, uint64_t, const char *);

/* fwd-poison.c: requests that crash endpoints. */
void fwd_poison_observe_crash(struct fwd_send *, bool);
void fwd_poison_note_success(struct fwd_send *);
void fwd_poison_note_event(struct fwd_send *, uint64_t);

/* fwd-silence-part.c: for how long an endpoint may be silent, and has been. */
uint64_t fwd_silence_heard_ms(const struct fwd_send *);
double fwd_silence_part(const struct fwd_send *, uint64_t);

/* fwd-silence.c: detection of silent endpoints. */
void fwd_silence_check(struct fwd_send *, uint64_t);
void fwd_silence_check_connect(struct fwd_send *, uint64_t);
double fwd_silence_connect_ms(bool, double, unsigned);
void fwd_silence_outlasted(const struct fwd_send *, struct fwd_send *);
bool fwd_silence_unheard(const struct endpoint *, uint64_t);

/**
 * enum fwd_path_verdict - what is known of the path of a send.
 * @FWD_PATH_SOUND: nothing speaks against it
 * @FWD_PATH_UNKNOWN: it is being checked
 * @FWD_PATH_LOST: it is lost, while the endpoint may be sound
 */
enum fwd_path_verdict {
	FWD_PATH_SOUND,
	FWD_PATH_UNKNOWN,
	FWD_PATH_LOST,
};

/* fwd-path.c: whether a send waits because its path is lost. */
enum fwd_path_verdict fwd_path_judge(const struct fwd_send *, uint64_t);
bool fwd_path_doubted(const struct endpoint *);
void fwd_path_note(struct fwd_send *);

/* fwd-sends.c: this daemon's sends, from which those of others are estimated.
 */
void fwd_sends_count(const struct fwd_send *);

/* fwd-evidence-collect.c: evidence of endpoints. */
void fwd_send_note_first(const struct fwd_send *, uint64_t);
void fwd_send_note_overdue(const struct fwd_send *, uint64_t);
double fwd_send_lateness_ms(const struct fwd_send *, uint64_t);

#endif
