/* Which free hosts form which new replicas. Pure. */
#ifndef BL_REPLICA_FORM_H
#define BL_REPLICA_FORM_H

#include "registry-catalog.h"
#include "replica.h"

/* Models of one service that are told apart. */
#define FORM_MODELS_MAX 16
/* Hosts with a copy of a model kept beside its replicas in a fabric domain. */
#define FORM_SPARES_KEPT 1

/* Part of a replica that a model must be short of for loads to be spent on it;
 * what is wanted is seldom a whole number. */
#define FORM_SHORT_LEAST 0.25

/**
 * struct form_host - a host of the service.
 * @id: its id
 * @domain: failure domain
 * @fabric: fabric domain
 * @at: index of that among the view's fabric domains
 * @last: model of its last group since its start, or NULL
 * @staged: models with a copy on the host; it keeps a few, the newest
 * @staging: model that is being copied to it, or NULL
 * @warming: it is taking a model into memory
 * @free: it may join a new group now
 * @soon: its group is being dissolved and will let it go within about a second
 * @group: the replica that it belongs to, or NULL
 */
struct form_host {
	const char *id;
	const char *domain;
	const char *fabric;
	unsigned at;
	const char *last;
	const GPtrArray *staged;
	const char *staging;
	bool warming;
	bool free;
	bool soon;
	struct replica *group;
};

/**
 * struct form_fabric - a fabric domain.
 * @name: its name; NULL where hosts don't say
 * @domain: failure domain of its hosts
 * @hosts: that live
 * @first: place of the first of them in the view's order
 * @held: wanted replicas of the largest model
 * @cap: most of them
 * @given: of a bound on all, those that were given to it so far
 * @ready: hosts with a copy of that model that are free now or soon
 * @donors: hosts with such a copy in smaller replicas that serve
 * @coming: hosts that are getting such a copy
 */
struct form_fabric {
	const char *name;
	const char *domain;
	unsigned hosts;
	unsigned first;
	unsigned held;
	unsigned cap;
	unsigned given;
	unsigned ready;
	unsigned donors;
	unsigned coming;
};

/**
 * struct form_view - what the decisions look at.
 * @engine: the service's engine profile
 * @hosts: of struct form_host; all that live
 * @order: indexes of the hosts, those of a fabric domain together
 * @fabrics: of struct form_fabric
 * @held: wanted replicas of each model, in the order of the profile
 * @by_domain: "model failure-domain" to the number of replicas there
 * @by_fabric: "model fabric-domain" to the number of replicas there
 * @work: share of the work of each model
 * @most: replicas of the largest model that may stand; 0 for no bound
 * @wanted: replicas of each model that the hosts should form
 * @shares: replicas of each model by its share of the work alone
 * @largest: index of the model with the largest replicas
 * @cap: most replicas of that model in one fabric domain, for each 2 x its
 *	size hosts there; the rest are replicas that can donate hosts to it
 * @loads: loads from the weight store that may begin now
 * @serving: requests come; loads take their full time
 * @settled: no new hosts have appeared for a while
 */
struct form_view {
	const struct engine_profile *engine;
	GArray *hosts;
	GArray *order;
	GArray *fabrics;
	unsigned held[FORM_MODELS_MAX];
	GHashTable *by_domain;
	GHashTable *by_fabric;
	double work[FORM_MODELS_MAX];
	unsigned most;
	double wanted[FORM_MODELS_MAX];
	double shares[FORM_MODELS_MAX];
	unsigned largest;
	unsigned cap;
	unsigned loads;
	bool serving;
	bool settled;
};

/**
 * struct form_plan - one new replica.
 * @model: what it serves
 * @members: indexes into the view's hosts
 * @loads: members that load from the weight store
 */
struct form_plan {
	const struct model_profile *model;
	GArray *members;
	unsigned loads;
};

bool form_next(const struct form_view *, struct form_plan *);
struct replica *form_donor(const struct form_view *);
struct replica *form_surplus(const struct form_view *);

/* replica-stage.c: which hosts get copies of which models. */
const struct form_host *form_stage(const struct form_view *,
    const struct model_profile **);
const struct form_host *form_warm(const struct form_view *);

/* replica-view.c: counts that the decisions share. */
void form_view_init(struct form_view *, const struct engine_profile *);
void form_view_clear(struct form_view *);
void form_view_add_replica(struct form_view *, const struct replica *,
    const char *, const char *);
void form_view_count(struct form_view *);
double form_view_full(struct form_view *);
void form_view_finish(struct form_view *);
const struct model_profile *form_model(const struct form_view *, unsigned);
const struct form_host *form_host_at(const struct form_view *, unsigned);
const struct form_fabric *form_fabric_at(const struct form_view *, unsigned);
unsigned form_fabric_host(const struct form_view *, unsigned, unsigned);
void form_view_staging(struct form_view *, const struct form_host *,
    const struct model_profile *);
void form_view_warming(struct form_view *, const struct form_host *);
bool form_fabric_spares(const struct form_fabric *);
bool form_host_has(const struct form_host *, const struct model_profile *);
bool form_host_donates(const struct form_host *, const struct model_profile *);
unsigned form_fabric_held(const struct form_view *,
    const struct model_profile *, const char *);
unsigned form_domain_held(const struct form_view *,
    const struct model_profile *, const char *);
double form_short(const struct form_view *, unsigned);
double form_served(const struct form_view *, unsigned);
unsigned form_model_index(const struct form_view *, const char *);

#endif
