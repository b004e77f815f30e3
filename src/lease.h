/* A control lease: who may change the groups of one failure domain. */
#ifndef BL_LEASE_H
#define BL_LEASE_H

#include <jansson.h>
#include <stdint.h>

/**
 * struct lease - the newest lease of a failure domain, by replay of the log.
 * @domain: the failure domain
 * @holder: the daemon that took it, with its incarnation; empty if it was given
 *	back
 * @term: log offset of the record that took it, which identifies the term
 * @renewed: log offset of the newest renewal
 */
struct lease {
	char *domain;
	char *holder;
	uint64_t term;
	uint64_t renewed;
};

struct lease *lease_create(const char *, const char *, uint64_t, uint64_t);
void lease_free(struct lease *);
json_t *lease_dump(const struct lease *);

#endif
