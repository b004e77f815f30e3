/* Which free hosts form which new replicas. Pure. */
#ifndef BL_PLANNER_H
#define BL_PLANNER_H

#include "registry-catalog.h"
#include "replica.h"

/* Models of one service that are told apart. */
#define PLANNER_MODELS_MAX 16
/* Hosts with a copy of a model kept beside its replicas in a fabric domain. */
#define PLANNER_SPARE_COPIES 1

/* Part of a replica that a model must be short of for loads to be spent on it;
 * what is wanted is seldom a whole number. */
#define PLANNER_SHORTAGE_MIN 0.25

/**
 * struct planner_host - a host of the service.
 * @id: its id
 * @domain: failure domain
 * @fabric: fabric domain
 * @fabric_index: index of that among the view's fabric domains
 * @loaded_model: model of its last group since its start, or NULL
 * @staged: models with a copy on the host; it keeps a few, the newest
 * @copying: model that is being copied to it, or NULL
 * @warming: it is taking a model into memory
 * @free: it may join a new group now
 * @free_soon: its group is being dissolved and will let it go within about a
 * second
 * @group: the replica that it belongs to, or NULL
 */
struct planner_host {
	const char *id;
	const char *domain;
	const char *fabric;
	unsigned fabric_index;
	const char *loaded_model;
	const GPtrArray *staged;
	const char *copying;
	bool warming;
	bool free;
	bool free_soon;
	struct replica *group;
};

/**
 * struct planner_fabric - a fabric domain.
 * @name: its name; NULL where hosts don't say
 * @domain: failure domain of its hosts
 * @hosts: that live
 * @first: place of the first of them in the view's order
 * @replicas: wanted replicas of the largest model
 * @max_replicas: most of them
 * @assigned: of a bound on all, those that were given to it so far
 * @ready: hosts with a copy of that model that are free now or soon
 * @donors: hosts with such a copy in smaller replicas that serve
 * @copying: hosts that are getting such a copy
 */
struct planner_fabric {
	const char *name;
	const char *domain;
	unsigned hosts;
	unsigned first;
	unsigned replicas;
	unsigned max_replicas;
	unsigned assigned;
	unsigned ready;
	unsigned donors;
	unsigned copying;
};

/**
 * struct planner_view - what the decisions look at.
 * @engine: the service's engine profile
 * @hosts: of struct planner_host; all that live
 * @order: indexes of the hosts, those of a fabric domain together
 * @fabrics: of struct planner_fabric
 * @replicas: wanted replicas of each model, in the order of the profile
 * @domain_replicas: "model failure-domain" to the number of replicas there
 * @fabric_replicas: "model fabric-domain" to the number of replicas there
 * @work_share: share of the work of each model
 * @largest_max: replicas of the largest model that may stand; 0 for no bound
 * @wanted: replicas of each model that the hosts should form
 * @share_replicas: replicas of each model by its share of the work alone
 * @largest: index of the model with the largest replicas
 * @cap_factor: most replicas of that model in one fabric domain, for each 2 x
 *its size hosts there; the rest are replicas that can donate hosts to it
 * @loads_free: loads from the weight store that may begin now
 * @serving: requests come; loads take their full time
 * @hosts_stable: no new hosts have appeared for a while
 */
struct planner_view {
	const struct engine_profile *engine;
	GArray *hosts;
	GArray *order;
	GArray *fabrics;
	unsigned replicas[PLANNER_MODELS_MAX];
	GHashTable *domain_replicas;
	GHashTable *fabric_replicas;
	double work_share[PLANNER_MODELS_MAX];
	unsigned largest_max;
	double wanted[PLANNER_MODELS_MAX];
	double share_replicas[PLANNER_MODELS_MAX];
	unsigned largest;
	unsigned cap_factor;
	unsigned loads_free;
	bool serving;
	bool hosts_stable;
};

/**
 * struct replica_plan - one new replica.
 * @model: what it serves
 * @members: indexes into the view's hosts
 * @loads: members that load from the weight store
 */
struct replica_plan {
	const struct model_profile *model;
	GArray *members;
	unsigned loads;
};

bool planner_plan_replica(const struct planner_view *, struct replica_plan *);
struct replica *planner_find_donor(const struct planner_view *);
struct replica *planner_find_surplus(const struct planner_view *);

/* planner-copies.c: which hosts get copies of which models. */
const struct planner_host *planner_plan_copy(const struct planner_view *,
    const struct model_profile **);
const struct planner_host *planner_plan_warming(const struct planner_view *);

/* planner-view.c: counts that the decisions share. */
void planner_view_init(struct planner_view *, const struct engine_profile *);
void planner_view_clear(struct planner_view *);
void planner_view_add_replica(struct planner_view *, const struct replica *,
    const char *, const char *);
void planner_view_count_hosts(struct planner_view *);
double planner_view_choose_cap(struct planner_view *);
void planner_view_set_targets(struct planner_view *);
const struct model_profile *planner_model(const struct planner_view *,
    unsigned);
const struct planner_host *planner_host_at(const struct planner_view *,
    unsigned);
const struct planner_fabric *planner_fabric_at(const struct planner_view *,
    unsigned);
unsigned planner_fabric_host(const struct planner_view *, unsigned, unsigned);
void planner_view_set_copying(struct planner_view *,
    const struct planner_host *, const struct model_profile *);
void planner_view_set_warming(struct planner_view *,
    const struct planner_host *);
bool planner_fabric_has_spares(const struct planner_fabric *);
bool planner_host_has_model(const struct planner_host *,
    const struct model_profile *);
bool planner_host_can_donate(const struct planner_host *,
    const struct model_profile *);
unsigned planner_fabric_replicas(const struct planner_view *,
    const struct model_profile *, const char *);
unsigned planner_domain_replicas(const struct planner_view *,
    const struct model_profile *, const char *);
double planner_shortage(const struct planner_view *, unsigned);
double planner_supply_ratio(const struct planner_view *, unsigned);
unsigned planner_model_index(const struct planner_view *, const char *);

#endif
