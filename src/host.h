/* Host of the platform's host list, with the evidence about it. */
#ifndef BL_HOST_H
#define BL_HOST_H

#include <sys/queue.h>

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "evidence.h"

enum host_kind {
	HOST_ENGINE,
	HOST_SERVICE,
};

/**
 * struct host - host of the platform's host list.
 * @name: its name
 * @url: base URL of its engine or service
 * @domain: its failure domain
 * @fabric: its fabric domain
 * @pool: its pool, by which deployments and services select hosts
 * @kind: model engine or plain service
 * @accelerators: number of its accelerators
 * @listed_leaving: the host list says that it is leaving
 * @unlisted: no longer in the host list
 * @evidence: what its last response says about it
 * @last_in_group_ms: last time at which it was, or may have been, in a group
 * @name_hash: stable hash of the name
 */
struct host {
	char *name;
	char *url;
	char *domain;
	char *fabric;
	char *pool;
	enum host_kind kind;
	int accelerators;
	bool listed_leaving;
	bool unlisted;
	struct evidence evidence;
	uint64_t last_in_group_ms;
	uint64_t name_hash;
	TAILQ_ENTRY(host) entry;
};

TAILQ_HEAD(host_list, host);

struct host *host_create(json_t *, uint64_t);
void host_free(struct host *);
bool host_update(struct host *, json_t *);
bool host_leaving(const struct host *);

#endif
