/* Placement: which hosts form which group. Does no I/O. */
#ifndef BL_PLACE_H
#define BL_PLACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define PLACE_NO_GROUP (-1)
#define PLACE_NO_SHARD (-1)
/* Policy of deployments that do not name one. */
#define PLACE_POLICY_DEFAULT "weighted"

/**
 * struct place_host - a host of the failure domain and pool.
 * @name: name of the host
 * @fabric: number of its fabric domain
 * @group: index of its group, or PLACE_NO_GROUP
 * @alive: its evidence is recent and it is not leaving
 * @reusable: it is alive, in no group and has reported so, and all evidence
 *	from its last group has expired
 * @lost_ms: time since it was last alive, in ms; 0 while it is
 * @shard: rank of the shard of the deployment's weights that it holds, or
 *	PLACE_NO_SHARD
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
 * struct place_group - a group of the deployment.
 * @name: name of the group
 * @fabric: number of its fabric domain
 * @intact: all its hosts are alive
 */
struct place_group {
	const char *name;
	int fabric;
	bool intact;
};

/**
 * struct place_view - input of a placement policy.
 * @hosts: the hosts
 * @n_hosts: number of hosts
 * @groups: the deployment's groups in this failure domain
 * @n_groups: number of groups
 * @n_fabrics: number of fabric domains, which are numbered from 0
 * @size: number of hosts of a replica
 * @wanted: number of replicas configured for this failure domain
 * @spares: number of hosts to hold back in each fabric domain
 * @downtime_weight: weight of downtime against stranded host time, 0 to 1
 * @load_ms: time to load one shard from the weight store
 * @loads_free: number of loads that may start now
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

/**
 * enum place_action_kind - kind of a change of group membership.
 * @PLACE_FORM: form a new group
 * @PLACE_DISSOLVE: dissolve a group
 */
enum place_action_kind {
	PLACE_FORM,
	PLACE_DISSOLVE,
};

/**
 * struct place_action - a change of group membership.
 * @kind: kind of the change
 * @group: PLACE_DISSOLVE: index of the group
 * @hosts: PLACE_FORM: indexes of the hosts, by rank
 */
struct place_action {
	enum place_action_kind kind;
	int group;
	GArray *hosts;
};

/**
 * struct place_policy - a placement policy.
 * @name: name of the policy, as in a placement resource
 * @plan: appends its actions to an array of struct place_action
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
