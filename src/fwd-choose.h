/* Chooses the endpoint of a request from what is known of all. Pure. */
#ifndef BL_FWD_CHOOSE_H
#define BL_FWD_CHOOSE_H

#include "fwd-expect.h"

/* From this part of its places on an endpoint counts as busy. */
#define FWD_BUSY_LOAD 0.6
/* Endpoints that one request remembers to have failed it. */
#define FWD_TRIED_MAX 6

/**
 * struct fwd_tried - an endpoint that failed a request.
 * @endpoint: the endpoint
 * @failed_ms: loop time at which it did
 */
struct fwd_tried {
	struct endpoint *endpoint;
	uint64_t failed_ms;
};

/**
 * struct fwd_criteria - what a request needs.
 * @service: its service
 * @engine: the service's engine profile, or NULL
 * @model: the model's profile, or NULL
 * @prompt: tokens of the prompt
 * @overhead_ms: learned of the model's first events
 * @domain: this daemon's failure domain
 * @tried: endpoints that failed it
 * @n_tried: how many
 * @ahead: requests of its kind that wait before it at this daemon
 * @now_ms: loop time
 * @draw: random numbers for the choice
 */
struct fwd_criteria {
	const char *service;
	const struct engine_profile *engine;
	const struct model_profile *model;
	double prompt;
	double overhead_ms;
	const char *domain;
	const struct fwd_tried *tried;
	unsigned n_tried;
	unsigned ahead;
	uint64_t now_ms;
	uint32_t draw;
};

/**
 * struct fwd_choice - the endpoint chosen.
 * @endpoint: NULL where none has a free place
 * @first_ms: when its first event is expected; 0 for plain services
 * @overhead_ms: part of that which was learned of the model
 * @load: part of its places that are taken
 * @running: requests at those that are usable
 * @any_usable: a usable endpoint of the kind, full or not, or NULL
 * @next_available: of those that asked for rest, the one whose rest ends first,
 * or NULL
 * @unavailable: endpoints of the kind that rest or leave by their own word
 * @known: endpoints of the kind, usable or not
 * @usable: those that are usable, full or not, and may have the request
 * @limited: others that are, but for this daemon's turn at their limits
 * @next_permit: of these, the one with the next turn, or NULL
 * @permit_ms: time until that; INFINITY where this daemon has no share of any
 * @limits_per_s: requests a second that these take from all daemons together
 */
struct fwd_choice {
	struct endpoint *endpoint;
	double first_ms;
	double overhead_ms;
	double load;
	double running;
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

bool fwd_choice_all_unavailable(const struct fwd_choice *);
void fwd_choose(const struct fleet *, const struct fwd_criteria *,
    struct fwd_choice *);
void fwd_criteria_workload(const struct fwd_criteria *, double,
    struct fwd_workload *);

#endif
