/* The planner: decides which hosts form which replicas and which get copies of
 * which models. Pure functions. */
#ifndef BL_PLANNER_H
#define BL_PLANNER_H

#include "registry-catalog.h"
#include "replica.h"

/* Maximum number of models of one service that the planner distinguishes. */
#define PLANNER_MODELS_MAX 16
/* Hosts outside a model's replicas that hold a spare copy of it, for each
 * fabric domain. */
#define PLANNER_SPARE_COPIES 1

/* Smallest shortage of a model, in replicas, that justifies loads for it: the
 * wanted number is seldom a whole one. */
#define PLANNER_SHORTAGE_MIN 0.25

/**
 * struct planner_host - a host of the service.
 * @id: id of the host's incarnation
 * @domain: its failure domain
 * @fabric: its fabric domain; NULL where it reports none
 * @fabric_index: index of its fabric domain in the view
 * @loaded_model: model in its memory, which is that of its last group since it
 *	started, or NULL
 * @staged: models with a copy on the host, which keeps the newest few
 * @copying: model that is being copied to it, or NULL
 * @warming: it is loading a model into memory without joining a replica
 * @free: it may join a new group now
 * @free_soon: its group is being dissolved and will release it within about a
 *	second
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
 * struct planner_place - active replicas in a failure domain or fabric domain.
 * @replicas: their number by model, in the order of the engine profile
 * @position: for a fabric domain, its index in the view plus 1; 0 for none
 */
struct planner_place {
	unsigned replicas[PLANNER_MODELS_MAX];
	unsigned position;
};

/**
 * struct planner_usable - the hosts of a fabric domain that a new replica of a
 * model may use.
 * @valid: what the counts depend on besides the fabric domain, plus 1; 0 where
 *	they have to be counted again
 * @free: number of these hosts
 * @with_model: number of those that need no load
 */
struct planner_usable {
	unsigned valid;
	unsigned free;
	unsigned with_model;
};

/**
 * struct planner_fabric - a fabric domain.
 * @domain: failure domain of its hosts
 * @hosts: number of its live hosts
 * @first: position of its first host in the view's order
 * @replicas: active replicas of the largest model in it
 * @max_replicas: maximum number of replicas of the largest model in it
 * @assigned: its part so far of the bound on replicas of the largest model
 * @domain_assigned: the part of its whole failure domain
 * @ready: hosts that have the largest model and are free now or soon
 * @donors: hosts that have the largest model and serve in smaller replicas
 * @copying: hosts that are getting a copy of the largest model
 * @in_fabric: replicas in it
 * @in_domain: replicas in its failure domain
 * @usable: its hosts that a new replica of each model may use
 */
struct planner_fabric {
	const char *domain;
	unsigned hosts;
	unsigned first;
	unsigned replicas;
	unsigned max_replicas;
	unsigned assigned;
	unsigned domain_assigned;
	unsigned ready;
	unsigned donors;
	unsigned copying;
	struct planner_place *in_fabric;
	struct planner_place *in_domain;
	struct planner_usable usable[PLANNER_MODELS_MAX];
};

/**
 * struct planner_view - the state of one service that decisions are based on.
 * @engine: the service's engine profile
 * @hosts: array of struct planner_host, all live hosts
 * @order: indexes of the hosts, grouped by fabric domain
 * @fabrics: array of struct planner_fabric
 * @replicas: active replicas of each model, in the order of the profile
 * @domain_places: name of a failure domain to its struct planner_place
 * @fabric_places: name of a fabric domain to its struct planner_place
 * @work_share: share of the work of each model
 * @largest_max: maximum number of replicas of the largest model; 0 for no bound
 * @by_demand: @largest_max was chosen by the demand; it may exceed the number
 *	that the configured share gives
 * @wanted: replicas of each model that the hosts should form
 * @share_replicas: replicas of each model that its share of the work alone
 *	would give
 * @short_of_hosts: whether a model's replicas are too few for its recent peaks;
 *	false where the demand is not known
 * @demand_met: whether a model's replicas are enough for its recent peaks and
 *	the loss of one; false where the demand is not known
 * @largest: index of the model with the most hosts in a replica
 * @cap_factor: maximum number of replicas of the largest model in one fabric
 *	domain for every 2 x its size hosts there; the other hosts form
 *	replicas that can donate hosts to it
 * @loads_free: number of loads from the weight store that may begin now
 * @copies_done: before requests come, this many hosts from the first on need no
 *	copy
 * @served: requests have arrived since the deployment began, so loads take
 *	their full time
 * @hosts_stable: no new host has appeared for a while
 */
struct planner_view {
	const struct engine_profile *engine;
	GArray *hosts;
	GArray *order;
	GArray *fabrics;
	unsigned replicas[PLANNER_MODELS_MAX];
	GHashTable *domain_places;
	GHashTable *fabric_places;
	double work_share[PLANNER_MODELS_MAX];
	unsigned largest_max;
	bool by_demand;
	double wanted[PLANNER_MODELS_MAX];
	double share_replicas[PLANNER_MODELS_MAX];
	bool short_of_hosts[PLANNER_MODELS_MAX];
	bool demand_met[PLANNER_MODELS_MAX];
	unsigned largest;
	unsigned cap_factor;
	unsigned loads_free;
	unsigned copies_done;
	bool served;
	bool hosts_stable;
};

/**
 * struct replica_plan - plan of one new replica.
 * @model: its model
 * @members: indexes of its members among the view's hosts
 * @loads: number of members that load from the weight store
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
const struct planner_host *planner_plan_copy(struct planner_view *,
    const struct model_profile **);
const struct planner_host *planner_plan_warming(const struct planner_view *);

/* planner-targets.c: how many replicas there should be, and where. */
double planner_view_choose_cap(struct planner_view *);
void planner_view_set_targets(struct planner_view *);

/* planner-view.c: counts that the decisions share. */
void planner_view_init(struct planner_view *, const struct engine_profile *);
void planner_view_clear(struct planner_view *);
void planner_view_add_replica(struct planner_view *, const struct replica *,
    const char *, const char *);
void planner_view_count_hosts(struct planner_view *);
void planner_view_set_formed(struct planner_view *, const struct replica_plan *,
    struct replica *);
const struct model_profile *planner_model(const struct planner_view *,
    unsigned);
const struct planner_host *planner_host_at(const struct planner_view *,
    unsigned);
const char *planner_host_fabric(const struct planner_host *);
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
double planner_shortage(const struct planner_view *, unsigned);
double planner_supply_ratio(const struct planner_view *, unsigned);
unsigned planner_model_index(const struct planner_view *, const char *);

#endif
