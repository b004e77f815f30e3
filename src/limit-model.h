/* An endpoint that names a limit before many daemons, in virtual time. */
#ifndef BL_LIMIT_MODEL_H
#define BL_LIMIT_MODEL_H

#include "fleet-model.h"

struct limit_model;

/**
 * struct limit_scheme - a way to share a limit among daemons.
 * @name: its name
 * @step: looks at the daemons, each millisecond; may be NULL
 * @admit: whether a daemon may send a request now; it is counted then
 * @notified: a daemon was told of the limit, or of none, by the endpoint itself
 */
struct limit_scheme {
	const char *name;
	void (*step)(struct limit_model *);
	bool (*admit)(struct limit_model *, unsigned);
	void (*notified)(struct limit_model *, unsigned, uint64_t);
};

/**
 * struct limit_daemon - one daemon, as the endpoint sees it.
 * @notified_ms: when it was first told of the limit; 0 for never
 * @permits: requests that it may send, where its way counts them here
 * @demand: moving mean of its requests a second
 */
struct limit_daemon {
	uint64_t notified_ms;
	double permits;
	double demand;
};

/**
 * struct limit_model - the endpoint, and requests that daemons have for it.
 * @fleet: the daemons
 * @scheme: how they share
 * @daemons: of them
 * @per_s: the limit that it names; below 0 for none
 * @limit_set_ms: when it began to
 * @demand: requests a second of each daemon that has any
 * @busy: of so many daemons each one has requests
 * @arrivals: times of requests of the last 4 s by daemons that were told, in ms
 * @n_requests: requests since the limit counts
 * @n_over: of these, beyond what a window allows
 * @n_uninformed: of these, by daemons that knew of no limit
 * @owner: the daemon that hands out requests, where one does
 * @owner_since_ms: it may from then on
 * @owner_permits: requests that it may hand out
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
