/* Placement: which hosts form which group. Pure decisions. */
#ifndef BL_PLACE_H
#define BL_PLACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PLACE_NO_GROUP (-1)
#define PLACE_NO_SHARD (-1)
/* The policy of deployments that name none. */
#define PLACE_POLICY_DEFAULT "weighted"

/**
 * struct place_host - one host of the failure domain and pool.
 * @name: its name
 * @fabric: number of its fabric domain
 * @group: index of the group it belongs to, or PLACE_NO_GROUP
 * @alive: seen lately and not leaving
 * @reusable: alive, in no group, said so, and old evidence has lapsed
 * @lost_ms: how long it has not been alive; 0 while it is
 * @shard: rank of the deployment's weights that it holds, or PLACE_NO_SHARD
 */
struct place_host {
	const char *name;
	int fabric;
	int group;
	bool alive;
	bool reusable;
	uint64_t lost_ms;
	int shard;
};

/**
 * struct place_group - one group of the deployment.
 * @name: its name
 * @fabric: number of its fabric domain
 * @intact: serving now
 */
struct place_group {
	const char *name;
	int fabric;
	bool intact;
};

/**
 * struct place_view - all that a policy may look at.
 * @hosts: the hosts
 * @n_hosts: how many
 * @groups: the deployment's groups in this failure domain
 * @n_groups: how many
 * @n_fabrics: fabric domains are numbered from 0 below it
 * @size: hosts of a replica
 * @wanted: replicas that the operator asks for in this failure domain
 * @spares: free hosts to keep in each fabric domain
 * @downtime_weight: weight of downtime against stranded time, 0 to 1
 * @load_ms: time to load one shard from the weight store
 * @loads_free: loads that may start now
 */
struct place_view {
	const struct place_host *hosts;
	int n_hosts;
	const struct place_group *groups;
	int n_groups;
	int n_fabrics;
	int size;
	int wanted;
	int spares;
	double downtime_weight;
	uint64_t load_ms;
	int loads_free;
};

enum place_action_kind {
	PLACE_FORM,
	PLACE_DISSOLVE,
};

/**
 * struct place_action - one change of membership.
 * @kind: what to do
 * @group: PLACE_DISSOLVE: index of the group
 * @hosts: PLACE_FORM: indexes of the hosts in the order of their ranks
 */
struct place_action {
	enum place_action_kind kind;
	int group;
	GArray *hosts;
};

/**
 * struct place_policy - a way to place.
 * @name: as operators name it
 * @plan: append actions to an array of struct place_action
 */
struct place_policy {
	const char *name;
	void (*plan)(const struct place_view *, GArray *);
};

extern const struct place_policy place_replace;
extern const struct place_policy place_reform;
extern const struct place_policy place_spare;
extern const struct place_policy place_weighted;

const struct place_policy *place_policy_find(const char *);
GArray *place_plan(const struct place_policy *, const struct place_view *);
int place_hosts_lost(const struct place_view *, int, uint64_t *);
int place_fabric_reusable(const struct place_view *, int);
void place_add_dissolve(GArray *, int);
bool place_add_form(const struct place_view *, int, GArray *);
int place_groups_missing(const struct place_view *, const GArray *);
int place_shards_held(const struct place_view *, int);

#endif
