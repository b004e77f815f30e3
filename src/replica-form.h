/* Which free hosts form which new replicas. Pure. */
#ifndef BL_REPLICA_FORM_H
#define BL_REPLICA_FORM_H

#include "dir-catalog.h"
#include "replica.h"

/* Models of one service that are told apart. */
#define FORM_MODELS_MAX 16

/**
 * struct form_host - a host of the service.
 * @id: its id
 * @domain: failure domain
 * @fabric: fabric domain
 * @last: model of its last group since its start, or NULL
 * @staged: models with a copy on the host
 * @staging: model that is being copied to it, or NULL
 * @free: it may join a new group now
 * @group: the replica that it belongs to, or NULL
 */
struct form_host {
	const char *id;
	const char *domain;
	const char *fabric;
	const char *last;
	const GPtrArray *staged;
	const char *staging;
	bool free;
	struct replica *group;
};

/**
 * struct form_view - what the decisions look at.
 * @engine: the service's engine profile
 * @hosts: of struct form_host; all that live
 * @held: wanted replicas of each model, in the order of the profile
 * @by_domain: "model failure-domain" to the number of replicas there
 * @by_fabric: "model fabric-domain" to the number of replicas there
 * @wanted: replicas of each model that the hosts should form
 * @largest: index of the model with the largest replicas
 * @cap: most replicas of that model in one fabric domain, for each 2 x its
 *	size hosts there; the rest are replicas that can donate hosts to it
 * @loads: loads from the weight store that may begin now
 * @only_largest: form replicas of the largest model only
 * @serving: requests come; loads take their full time
 */
struct form_view {
	const struct engine_profile *engine;
	GArray *hosts;
	unsigned held[FORM_MODELS_MAX];
	GHashTable *by_domain;
	GHashTable *by_fabric;
	double wanted[FORM_MODELS_MAX];
	unsigned largest;
	unsigned cap;
	unsigned loads;
	bool only_largest;
	bool serving;
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

void form_targets(struct form_view *);
bool form_next(const struct form_view *, struct form_plan *);
struct replica *form_donor(const struct form_view *);
const struct form_host *form_stage(const struct form_view *,
    const struct model_profile **);

/* replica-view.c: counts that the decisions share. */
bool form_host_has(const struct form_host *, const struct model_profile *);
bool form_host_donates(const struct form_host *, const struct model_profile *);
unsigned form_fabric_held(const struct form_view *,
    const struct model_profile *, const char *);
unsigned form_domain_held(const struct form_view *,
    const struct model_profile *, const char *);
unsigned form_fabric_cap(const struct form_view *, const char *);

#endif
