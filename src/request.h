/* One request of a caller: who, until when, and what became of it. */
#ifndef BL_REQUEST_H
#define BL_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "claims.h"
#include "customer.h"
#include "error.h"
#include "server.h"
#include "target.h"

/**
 * struct request - one request.
 * @server: this daemon
 * @customer: whose it is; a reference
 * @id: the caller's request id, or one made here
 * @claim_id: customer and @id, once claimed, else NULL
 * @token: this attempt at @claim_id
 * @service: name of the deployment or service
 * @is_service: a plain service rather than a deployment
 * @idempotent: it may run more than once
 * @deadline_ms: monotonic time at which its time is up
 * @started_us: when it came in
 * @prefix: hash of the prompt's prefix, or 0
 * @tried: targets it was sent to, with references
 * @policy: the policy that chose the latest target
 * @asked_remote: news of other failure domains were asked for
 * @may_have_run: some call ended so that it may have run
 * @admission: the queue that gave it a slot, or NULL; a reference
 * @ticket: its place there
 * @slot_ms: when it got the slot
 * @counted: its end was counted
 */
struct request {
	struct server *server;
	struct customer *customer;
	char *id;
	char *claim_id;
	char *token;
	char *service;
	bool is_service;
	bool idempotent;
	uint64_t deadline_ms;
	uint64_t started_us;
	uint64_t prefix;
	GPtrArray *tried;
	const struct route_policy *policy;
	bool asked_remote;
	bool may_have_run;
	struct admission *admission;
	struct fair_ticket ticket;
	uint64_t slot_ms;
	bool counted;
};

/**
 * struct failure - why a request failed, as told to the caller.
 * @error: the type
 * @outcome: what is known of the request
 * @retry_after_ms: when to come back, 0 for not at all
 * @message: for people; free with g_free()
 */
struct failure {
	enum error_code error;
	enum outcome outcome;
	uint64_t retry_after_ms;
	char *message;
};

struct failure;

struct request *request_create(struct server *, struct customer *,
    const char *);
void request_free(struct request *);
void request_cleanup(struct request **);
bool request_admit(struct request *, struct failure *);
bool request_expired(const struct request *);
struct target *request_next_target(struct request *);
bool request_service_declared(struct request *, bool *);
bool request_retry_allowed(struct request *);
void request_end(struct request *, enum outcome, int, const char *);
void request_count_refused(struct request *);
void failure_set(struct failure *, enum error_code, enum outcome, uint64_t,
    const char *, ...) G_GNUC_PRINTF(5, 6);
void failure_clear(struct failure *);

#endif
