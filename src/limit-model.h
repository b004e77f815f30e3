/* Simulation, in virtual time, of many daemons that send to an endpoint with a
 * rate limit. */
#ifndef BL_LIMIT_MODEL_H
#define BL_LIMIT_MODEL_H

#include "fleet-model.h"

struct limit_model;

/**
 * struct limit_scheme - a way to share a limit among daemons.
 * @name: its name
 * @step: updates the shares, once a millisecond; may be NULL
 * @admit: whether a daemon may send a request now; if so, the request is
 *	counted
 * @notified: called when the endpoint's response told a daemon of the limit, or
 *	that there is none
 */
struct limit_scheme {
	const char *name;
	void (*step)(struct limit_model *);
	bool (*admit)(struct limit_model *, unsigned);
	void (*notified)(struct limit_model *, unsigned, uint64_t);
};

/**
 * struct limit_daemon - one daemon, as the endpoint sees it.
 * @notified_ms: when the endpoint first told it of the limit; 0 for never
 * @permits: requests that it may send, where the scheme counts them here
 * @demand: moving average of its requests per second
 */
struct limit_daemon {
	uint64_t notified_ms;
	double permits;
	double demand;
};

/**
 * struct limit_model - the endpoint, and the daemons' requests for it.
 * @fleet: the daemons
 * @scheme: how they share the limit
 * @daemons: the endpoint's view of each daemon
 * @per_s: limit that it names, in requests per second; below 0 for none
 * @limit_set_ms: when it began to name this limit
 * @demand: requests per second of each daemon that has any
 * @busy: one in this many daemons has requests
 * @arrivals: arrival times in the last 4 s of requests by notified daemons, in
 *	ms
 * @n_requests: requests since compliance with the limit has been measured
 * @n_over: of these, requests beyond what a window allows
 * @n_uninformed: requests by daemons that did not know of the limit
 * @owner: daemon that grants requests, in schemes that have one
 * @owner_since_ms: time from which it may grant requests
 * @owner_permits: requests that it may grant
 */
struct limit_model {
	struct fleet_model *fleet;
	const struct limit_scheme *scheme;
	struct limit_daemon *daemons;
	double per_s;
	uint64_t limit_set_ms;
	double demand;
	unsigned busy;
	GArray *arrivals;
	unsigned n_requests;
	unsigned n_over;
	unsigned n_uninformed;
	unsigned owner;
	uint64_t owner_since_ms;
	double owner_permits;
};

extern const struct limit_scheme limit_scheme_equal;
extern const struct limit_scheme limit_scheme_demand;
extern const struct limit_scheme limit_scheme_owner;
extern const struct limit_scheme limit_scheme_users;

struct limit_model *limit_model_new(struct fleet_model *,
    const struct limit_scheme *, double, unsigned);
void limit_model_free(struct limit_model *);
void limit_model_set_limit(struct limit_model *, double);
void limit_model_run(struct limit_model *, uint64_t);
double limit_model_used(const struct limit_model *);
unsigned limit_model_informed(const struct limit_model *);
double limit_model_share(const struct limit_model *);

#endif
