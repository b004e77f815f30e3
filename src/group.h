/* A serving group: the hosts that together hold one replica. */
#ifndef BL_GROUP_H
#define BL_GROUP_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/**
 * struct group - serving group, as replayed from the log.
 * @name: "deployment/domain/number"
 * @deployment: name of the deployment that it serves
 * @domain: failure domain of its hosts
 * @fabric: fabric domain of its hosts
 * @epoch: log offset of its record; the fencing token of its orders
 * @hosts: names of its hosts (char *), the leader first
 */
struct group {
	char *name;
	char *deployment;
	char *domain;
	char *fabric;
	uint64_t epoch;
	GPtrArray *hosts;
};

struct group *group_create(json_t *, uint64_t);
void group_free(struct group *);
json_t *group_dump(const struct group *);

#endif
