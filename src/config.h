/* The configuration of this daemon: the log followed into a state. */
#ifndef BL_CONFIG_H
#define BL_CONFIG_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "log-client.h"
#include "state.h"

#define CONFIG_STREAM "config"

/**
 * struct config_ops - what the configuration needs from its surroundings.
 * @changed: the state moved on; called without the lock
 * @fetch: ask peers for a state beyond @next; returns a dump or NULL
 */
struct config_ops {
	void (*changed)(void *);
	json_t *(*fetch)(void *, uint64_t);
};

/**
 * struct config - the followed log.
 * @lock: guards the members below
 * @advanced: signalled whenever the state moved on
 * @state: what replay has made; never replaced by a shorter prefix
 * @verdicts: change id to the verdict that replay gave, of recent records
 * @verdict_order: change ids, oldest first
 * @log_ok_ms: last time the log answered a read, 0 for never
 * @snapshot_at: prefix of the newest complete snapshot seen
 */
struct config {
	GMutex lock;
	GCond advanced;
	struct state *state;
	GHashTable *verdicts;
	GQueue verdict_order;
	uint64_t log_ok_ms;
	uint64_t snapshot_at;
	struct log_client *log;
	const struct config_ops *ops;
	void *ops_arg;
};

void config_init(struct config *, struct log_client *,
    const struct config_ops *, void *);
void config_destroy(struct config *);
void config_follow(struct config *, unsigned);
bool config_adopt_state(struct config *, json_t *);
bool config_change(struct config *, const char *, const char *, const char *,
    int64_t, json_t *, uint64_t *, GError **);
enum verdict config_append(struct config *, json_t *, uint64_t *, GError **);
bool config_log_ok(struct config *, uint64_t);
uint64_t config_next(struct config *);

#endif
