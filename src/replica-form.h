/* The planner: decides which hosts form which replicas and which get copies of
 * which models. Pure functions. */
#ifndef BL_REPLICA_FORM_H
#define BL_REPLICA_FORM_H

#include "dir-catalog.h"
#include "replica.h"

/* Maximum number of models of one service that the planner distinguishes. */
#define FORM_MODELS_MAX 16
/* Hosts outside a model's replicas that hold a spare copy of it, for each
 * fabric domain. */
#define FORM_SPARES_KEPT 1

/* Smallest shortage of a model, in replicas, that justifies loads for it: the
 * wanted number is seldom a whole one. */
#define FORM_SHORT_LEAST 0.25

/**
 * struct form_host - a host of the service.
 * @id: id of the host's incarnation
 * @domain: its failure domain
 * @fabric: its fabric domain; NULL where it reports none
 * @at: index of its fabric domain in the view
 * @last: model in its memory, which is that of its last group since it
 *	started, or NULL
 * @staged: models with a copy on the host, which keeps a few, the newest
 * @staging: model that is being copied to it, or NULL
 * @warming: it is loading a model into memory without joining a replica
 * @free: it may join a new group now
 * @soon: its group is being dissolved and will release it within about a second
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
 * @name: its name; NULL for hosts that report none
 * @domain: failure domain of its hosts
 * @hosts: number of its live hosts
 * @first: position of its first host in the view's order
 * @held: active replicas of the largest model in it
 * @cap: maximum number of replicas of the largest model in it
 * @given: its part so far of the bound on replicas of the largest model
 * @ready: hosts that have the largest model and are free now or soon
 * @donors: hosts that have the largest model and serve in smaller replicas
 * @coming: hosts that are getting a copy of the largest model
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
 * struct form_view - the state of one service that decisions are based on.
 * @engine: the service's engine profile
 * @hosts: array of struct form_host, all live hosts
 * @order: indexes of the hosts, grouped by fabric domain
 * @fabrics: array of struct form_fabric
 * @held: active replicas of each model, in the order of the profile
 * @by_domain: "model failure-domain" to the number of replicas there
 * @by_fabric: "model fabric-domain" to the number of replicas there
 * @work: share of the work of each model
 * @most: maximum number of replicas of the largest model; 0 for no bound
 * @wanted: replicas of each model that the hosts should form
 * @shares: replicas of each model that its share of the work alone would give
 * @largest: index of the model with the most hosts in a replica
 * @cap: maximum number of replicas of the largest model in one fabric domain
 *	for every 2 x its size hosts there; the other hosts form replicas that
 *	can donate hosts to it
 * @loads: number of loads from the weight store that may begin now
 * @serving: requests have come, so loads take their full time
 * @settled: no new host has appeared for a while
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
 * struct form_plan - plan of one new replica.
 * @model: its model
 * @members: indexes of its members among the view's hosts
 * @loads: number of members that load from the weight store
 */
struct form_plan {
	const struct model_profile *model;
	GArray *members;
	unsigned loads;
};

bool form_next(const struct form_view *, struct form_plan *);
struct replica *form_donor(const struct form_view *);
struct replica *form_surplus(const struct form_view *);

/* planner-copies.c: which hosts get copies of which models. */
const struct form_host *form_stage(const struct form_view *,
    const struct model_profile **);
const struct form_host *form_warm(const struct form_view *);

/* planner-view.c: counts that the decisions share. */
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
