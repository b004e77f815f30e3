/*
 * The daemon's local copy of the configuration and of the endpoints' entries,
 * with the age of each.
 */
#ifndef BL_REGISTRY_H
#define BL_REGISTRY_H

#include "fleet-sums.h"
#include "registry-catalog.h"
#include "registry-evacuation.h"
#include "registry-fleet.h"
#include "registry-follower.h"
#include "registry-outage.h"
#include "registry-poison.h"

/* Largest accepted lead of an endpoint's clock over the clock here: no clock
 * that is set at all is a day off. */
#define REGISTRY_CLOCK_SKEW_MS 86400000
/* Removals that a snapshot shows and that have the same offset. */
#define REGISTRY_REMOVALS_MAX 128
/* Endpoints whose refused entries are remembered, so that each refusal is
 * logged once. */
#define REGISTRY_REFUSALS_MAX 1024

/**
 * struct registry_decoders - the platform adapter's decoders of records.
 * @config: decodes the configuration; NULL and an error if it is invalid
 * @endpoint: decodes an endpoint's entry, given its id; false and an error if
 *	it is invalid
 * @evacuated_domain: failure domain that a record of the configuration's topic
 *	evacuates, given its key; NULL for other records
 */
struct registry_decoders {
	struct catalog *(*config)(const void *, size_t, GError **);
	bool (*endpoint)(const char *, const void *, size_t,
	    struct endpoint_report *, GError **);
	const char *(*evacuated_domain)(const char *);
};

/**
 * struct registry_fallback - when a daemon that is told by peers reads the
 * store itself.
 * @after_ms: time without an update from peers, in ms
 * @retry_ms: pause after a failure, in ms
 */
struct registry_fallback {
	unsigned after_ms;
	unsigned retry_ms;
};

/**
 * struct registry - local copy of the deployment's state.
 * @loop: the event loop
 * @decode: the adapter's decoders
 * @catalog: the configuration in force; NULL before the first
 * @config_bytes: @catalog as encoded in the store
 * @config_packed: the same for peers, by deflate_pack(); NULL until one asks
 * @evacuations: the failure domains that are evacuated
 * @fleet: the endpoints
 * @poison: requests suspected of crashing endpoints
 * @sums: sums over all daemons
 * @loads_as_of_ms: loop time as of which other daemons' loads hold; 0 before
 *	any were heard
 * @refusal_reasons: endpoint id to the reason for which its entry was last
 *	refused
 * @n_refused: number of entries refused so far
 * @config: follower of the configuration
 * @endpoints: follower of the endpoints' entries
 * @outage: the newest outage of the store
 * @peer_proof_ms: loop time as of which a peer has proved that @catalog is the
 *	newest; 0 for never
 * @relay: records to relay to peers, of struct store_record
 * @relayed: called with the offsets that were read and @relay
 * @relayed_arg: argument of @relayed
 * @changed: called after the catalog or an endpoint changed
 * @changed_arg: argument of @changed
 */
struct registry {
	uv_loop_t *loop;
	const struct registry_decoders *decode;
	struct catalog *catalog;
	GBytes *config_bytes;
	GBytes *config_packed;
	struct evacuations evacuations;
	struct fleet fleet;
	struct poison poison;
	struct fleet_sums sums;
	uint64_t loads_as_of_ms;
	GHashTable *refusal_reasons;
	uint64_t n_refused;
	struct topic_follower config;
	struct topic_follower endpoints;
	struct store_outage outage;
	uint64_t peer_proof_ms;
	GArray *relay;
	void (*relayed)(void *, uint64_t, uint64_t, const GArray *);
	void *relayed_arg;
	void (*changed)(void *);
	void *changed_arg;
};

void registry_init(struct registry *, uv_loop_t *, struct store *,
    const struct registry_decoders *);
void registry_configure(struct registry *, unsigned, unsigned);
void registry_set_fallback(struct registry *, const struct registry_fallback *,
    const struct registry_fallback *);
void registry_note_answered(void *, uint64_t);
void registry_note_failed(void *);
void registry_note_proof(struct registry *, uint64_t, uint64_t);
void registry_note_told(struct registry *, uint64_t, uint64_t);
void registry_release(struct registry *);
void registry_stop(struct registry *);
void registry_sweep(struct registry *, uint64_t);
uint64_t registry_config_age(const struct registry *, uint64_t);

/* registry-entries.c: the endpoints' entries. */
extern const struct topic_follower_ops registry_endpoints_ops;
void registry_apply_endpoints(struct registry *, const struct topic_update *,
    uint64_t, uint64_t);
bool registry_apply_snapshot(struct registry *, uint64_t, const GArray *,
    uint64_t);
uint64_t registry_removal_offset(uint64_t, unsigned);
void registry_get_snapshot(const struct registry *, GArray *);

/* registry-config.c: the configuration, and evacuations. */
extern const struct topic_follower_ops registry_config_ops;
void registry_notify(struct registry *);
bool registry_service_grouped(const struct registry *, const char *);
void registry_set_cold(const struct registry *, struct endpoint *, uint64_t,
    uint64_t);
struct catalog *registry_decode_config(const struct registry *, const void *,
    size_t, uint64_t);
void registry_set_config(struct registry *, struct catalog *, const void *,
    size_t);
bool registry_apply_evacuations(struct registry *, const struct evacuations *);

#endif
