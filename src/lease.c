/* A control lease: who may change the groups of one failure domain. */
#include <glib.h>

#include "lease.h"

/**
 * lease_create() - allocate a lease.
 * @domain: the failure domain
 * @holder: the daemon that holds it, with its incarnation
 * @term: log offset of the record that took it
 * @renewed: log offset of the newest renewal
 *
 * Return: the lease; free with lease_free().
 */
struct lease *
lease_create(const char *domain, const char *holder, uint64_t term,
    uint64_t renewed)
{
	struct lease *lease;

	lease = g_new0(struct lease, 1);
	lease->domain = g_strdup(domain);
	lease->holder = g_strdup(holder);
	lease->term = term;
	lease->renewed = renewed;
	return (lease);
}

/**
 * lease_free() - free a lease.
 * @lease: the lease
 */
void
lease_free(struct lease *lease)
{
	g_free(lease->domain);
	g_free(lease->holder);
	g_free(lease);
}

/**
 * lease_dump() - the lease as JSON, in the form that snapshots keep.
 * @lease: the lease
 */
json_t *
lease_dump(const struct lease *lease)
{
	return (json_pack("{s:s, s:s, s:I, s:I}", "domain", lease->domain,
	    "holder", lease->holder, "term", (json_int_t)lease->term, "renewed",
	    (json_int_t)lease->renewed));
}
