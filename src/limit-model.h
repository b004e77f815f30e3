/* An endpoint that names a limit before many daemons, in virtual time. */
#ifndef BL_LIMIT_MODEL_H
#define BL_LIMIT_MODEL_H

#include "fleet-model.h"

struct limit_model;

/**
 * struct limit_scheme - a way to share a limit among daemons.
 * @name: its name
 * @look: looks at the daemons, each millisecond; may be NULL
 * @take: whether a daemon may send a request now; it is counted then
 * @heard: a daemon was told of the limit, or of none, by the endpoint itself
 */
struct limit_scheme {
	const char *name;
	void (*look)(struct limit_model *);
	bool (*take)(struct limit_model *, unsigned);
	void (*heard)(struct limit_model *, unsigned, uint64_t);
};

/**
 * struct limit_daemon - one daemon, as the endpoint sees it.
 * @told_ms: when it was first told of the limit; 0 for never
 * @turns: requests that it may send, where its way counts them here
 * @demand: moving mean of its requests a second
 */
struct limit_daemon {
	uint64_t told_ms;
	double turns;
	double demand;
};

/**
 * struct limit_model - the endpoint, and requests that daemons have for it.
 * @fleet: the daemons
 * @way: how they share
 * @daemons: of them
 * @per_s: the limit that it names; below 0 for none
 * @named_ms: when it began to
 * @demand: requests a second of each daemon that has any
 * @busy: of so many daemons each one has requests
 * @came: times of requests of the last 4 s by daemons that were told, in ms
 * @got: requests since the limit counts
 * @over: of these, beyond what a window allows
 * @untold: of these, by daemons that knew of no limit
 * @owner: the daemon that hands out requests, where one does
 * @owner_since_ms: it may from then on
 * @owner_permits: requests that it may hand out
 */
struct limit_model {
	struct fleet_model *fleet;
	const struct limit_scheme *way;
	struct limit_daemon *daemons;
	double per_s;
	uint64_t named_ms;
	double demand;
	unsigned busy;
	GArray *came;
	unsigned got;
	unsigned over;
	unsigned untold;
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
