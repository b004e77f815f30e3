/* A client's request, from admission to its outcome. */
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
 * @customer: the customer that sent the request; a reference
 * @id: the client's request id, or a generated one
 * @claim_id: customer and @id once they are claimed, else NULL
 * @token: token of this attempt to claim @claim_id
 * @service: name of the deployment or service
 * @is_service: true for a plain service, false for a deployment
 * @idempotent: the request may be executed more than once
 * @deadline_ms: monotonic time of the deadline, in ms
 * @started_us: monotonic time at which the request was received, in us
 * @prefix: hash of the first bytes of the prompt, or 0
 * @tried: targets that the request was sent to, with references
 * @policy: routing policy that chose the latest target
 * @queried_remote: gossip was requested from the other failure domains; done
 *	at most once
 * @may_have_run: a call ended in such a way that the request may have run
 * @admission: queue that granted a slot, or NULL; a reference
 * @ticket: entry in that queue
 * @slot_ms: monotonic time at which the slot was granted, in ms
 * @ended: the end of the request was counted, logged and recorded
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
	bool queried_remote;
	bool may_have_run;
	struct admission *admission;
	struct fair_ticket ticket;
	uint64_t slot_ms;
	bool ended;
};

/**
 * struct failure - why a request failed, as reported to the client.
 * @error: error code
 * @outcome: what is known of whether the request ran
 * @retry_after_ms: delay after which the client may retry, 0 if it should not
 * @message: human-readable message; free with g_free()
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
struct target *request_retry_target(struct request *);
bool request_service_declared(struct request *, bool *);
void request_end(struct request *, enum outcome, int, const char *);
void request_count_refused(struct request *);
void failure_set(struct failure *, enum error_code, enum outcome, uint64_t,
    const char *, ...) G_GNUC_PRINTF(5, 6);
void failure_clear(struct failure *);

#endif
