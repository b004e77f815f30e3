/* Which free hosts form which new replicas. Pure. */
#ifndef BL_REPLICA_FORM_H
#define BL_REPLICA_FORM_H

#include "dir-catalog.h"

/**
 * struct form_host - a host of the service.
 * @id: its id
 * @domain: failure domain
 * @fabric: fabric domain
 * @last: model of its last group since its start, or NULL
 * @staged: models with a copy on the host
 * @free: it may join a new group now
 */
struct form_host {
	const char *id;
	const char *domain;
	const char *fabric;
	const char *last;
	const GPtrArray *staged;
	bool free;
};

/**
 * struct form_view - what the decision looks at.
 * @engine: the service's engine profile
 * @hosts: of struct form_host; all that live
 * @held: replicas of each model, in the order of the profile
 * @by_domain: "model failure-domain" to the number of replicas there
 * @loads: loads from the weight store that may begin now
 */
struct form_view {
	const struct engine_profile *engine;
	GArray *hosts;
	unsigned held[16];
	GHashTable *by_domain;
	unsigned loads;
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

#endif
