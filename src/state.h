/* The configuration state: a pure function of a prefix of the log. */
#ifndef BL_STATE_H
#define BL_STATE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct group;
struct lease;
struct resource;

/**
 * enum verdict - what replay made of one record.
 * @VERDICT_APPLIED: it took effect
 * @VERDICT_CONFLICT: its base is not the current version
 * @VERDICT_INVALID: it is malformed or refers to what does not exist
 * @VERDICT_STALE_TERM: its writer's lease is not the newest
 * @VERDICT_HOST_TAKEN: one of its hosts is in another live group
 */
enum verdict {
	VERDICT_APPLIED,
	VERDICT_CONFLICT,
	VERDICT_INVALID,
	VERDICT_STALE_TERM,
	VERDICT_HOST_TAKEN,
};

/**
 * struct state - what replay of the log up to @next has made.
 * @next: the first offset that is not applied yet; starts at 1
 * @resources: key "type/name" to struct resource, with deleted ones
 * @groups: name to struct group
 * @leases: failure domain to struct lease
 * @host_groups: host name to its struct group; owned by @groups
 */
struct state {
	uint64_t next;
	GHashTable *resources;
	GHashTable *groups;
	GHashTable *leases;
	GHashTable *host_groups;
};

struct state *state_create(void);
void state_free(struct state *);
void state_cleanup(struct state **);
enum verdict state_apply(struct state *, uint64_t, json_t *, GError **);
enum verdict state_check_change(const struct state *, json_t *, GError **);
const char *verdict_name(enum verdict);
struct resource *state_resource(const struct state *, const char *,
    const char *);
struct group *state_group(const struct state *, const char *);
struct group *state_host_group(const struct state *, const char *);
struct lease *state_lease(const struct state *, const char *);
json_t *state_dump(const struct state *);
struct state *state_load(json_t *, GError **);
uint64_t state_digest(const struct state *);
GPtrArray *state_sorted_keys(GHashTable *);

#endif
