/* Load balancing: chooses an endpoint for a request. Pure. */
#ifndef BL_FWD_CHOOSE_H
#define BL_FWD_CHOOSE_H

#include "fwd-domains.h"
#include "fwd-expect.h"

/* Load, as a part of its slots, from which on an endpoint counts as busy. */
#define FWD_BUSY_LOAD 0.6
/* Maximum number of endpoints that are remembered for a request. */
#define FWD_TRIED_MAX 6

/**
 * struct fwd_tried - an endpoint that a request was sent to.
 * @endpoint: the endpoint
 * @active: it has the request now
 * @released: it ran the request until this daemon cancelled that, and has not
 *	failed it since
 * @failed_ms: loop time at which it last failed or refused the request; 0 for
 *	never
 */
struct fwd_tried {
	struct endpoint *endpoint;
	bool active;
	bool released;
	uint64_t failed_ms;
};

/**
 * struct fwd_criteria - what a request requires of an endpoint.
 * @service: name of its service
 * @engine: the service's engine profile, or NULL
 * @model: the model's profile, or NULL
 * @prompt: length of the prompt, in tokens
 * @overhead_ms: measured overhead of the model's first events
 * @load_error_ms: errors of the model by load; see struct fwd_workload
 * @evidence: evidence on endpoints; see struct fwd_workload
 * @objective_ms: the route's objective for the first event
 * @domain: this daemon's failure domain
 * @balance_domains: prefer that failure domain only while it has capacity
 * @may_wait: no endpoint is chosen if other daemons have probably taken the
 *	free slots since the loads were measured
 * @unseen: what other daemons may have sent since the loads were measured
 * @probe_suspects: only few requests are sent to an endpoint that was found
 *	silent, until a daemon hears from it again
 * @tried: endpoints that the request was sent to
 * @n_tried: length of @tried
 * @released_only: only those of them that did not fail it may be chosen
 * @heard_since_ms: only endpoints that were heard of since then may be chosen
 * @ahead: requests of the same service and model queued before it at this
 *	daemon
 * @now_ms: loop time
 * @draw: random number for the choice
 */
struct fwd_criteria {
	const char *service;
	const struct engine_profile *engine;
	const struct model_profile *model;
	double prompt;
	double overhead_ms;
	const double *load_error_ms;
	const struct sum_table *evidence;
	double objective_ms;
	const char *domain;
	bool balance_domains;
	bool may_wait;
	struct fwd_unseen unseen;
	bool probe_suspects;
	const struct fwd_tried *tried;
	unsigned n_tried;
	bool released_only;
	uint64_t heard_since_ms;
	unsigned ahead;
	uint64_t now_ms;
	uint32_t draw;
};

/**
 * struct fwd_choice - the endpoint chosen, and the state of the others.
 * @endpoint: the endpoint; NULL if none has a free slot
 * @first_ms: expected time to the first event there; 0 for plain services
 * @overhead_ms: the part of @first_ms that is measured overhead
 * @load: part of the endpoint's slots that are in use
 * @running: requests running at all usable endpoints
 * @own: the part of the usable endpoints in this daemon's failure domain
 * @others: the usable endpoints in other failure domains
 * @preference: how much the own failure domain is preferred, from 0 to 1
 * @any_usable: any usable endpoint that matches, full or not, or NULL
 * @next_available: of the endpoints that asked for a backoff, the one whose
 *	backoff ends first, or NULL
 * @unavailable: matching endpoints that asked for a backoff or are draining
 * @known: all matching endpoints: those of the service that serve the model
 * @usable: matching endpoints that may have the request, full or not
 * @limited: matching endpoints that may have it once this daemon gets a permit
 *	of their rate limit
 * @next_permit: of these, the one with the earliest permit, or NULL
 * @permit_ms: time until that permit; INFINITY if this daemon has no share of
 *	any limit
 * @limits_per_s: sum of the limits of the endpoints counted in @limited, in
 *	requests per second from all daemons together
 */
struct fwd_choice {
	struct endpoint *endpoint;
	double first_ms;
	double overhead_ms;
	double load;
	double running;
	struct fwd_usage own;
	struct fwd_usage others;
	double preference;
	const struct endpoint *any_usable;
	const struct endpoint *next_available;
	unsigned unavailable;
	unsigned known;
	unsigned usable;
	unsigned limited;
	const struct endpoint *next_permit;
	double permit_ms;
	double limits_per_s;
};

bool fwd_endpoint_matches(const struct endpoint *, const struct fwd_criteria *);
bool fwd_choice_all_unavailable(const struct fwd_choice *);
bool fwd_choice_only_limited(const struct fwd_choice *);
void fwd_choose(const struct fleet *, const struct fwd_criteria *,
    struct fwd_choice *);

#endif
