/* One host of the platform's host list, with the evidence about it. */
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
 * struct host - one host.
 * @name: its name
 * @url: base URL of its engine or service
 * @domain: its failure domain
 * @fabric: its fabric domain
 * @pool: the pool that deployments and services choose hosts by
 * @kind: model engine or plain service
 * @accelerators: how many it has
 * @listed_leaving: the host list says that it leaves
 * @unlisted: no longer in the host list
 * @evidence: what it lately said
 * @last_in_group_ms: last time it was, or may have been, in a group
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
