/* Configuration of this daemon: the state replayed from the log. */
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
 * struct config_ops - callbacks of the configuration.
 * @changed: the state has advanced; called without the lock
 * @fetch: fetch a peer's state whose next offset is above the given one;
 *	returns a dump or NULL
 */
struct config_ops {
	void (*changed)(void *);
	json_t *(*fetch)(void *, uint64_t);
};

/**
 * struct config - the state and the log that it is replayed from.
 * @lock: guards the members below
 * @advanced: signalled when the state has advanced
 * @state: result of replay; never replaced by the state of a shorter prefix
 * @complete: @state once had all records, or as many as could be had while the
 *	log was unavailable
 * @verdicts: change id to struct config_verdict, of recent records
 * @verdict_order: change ids, oldest first
 * @log_ok_ms: time of the last successful read of the log, 0 for never
 * @snapshot_at: last offset covered by the newest complete snapshot seen
 * @log: client of the log
 * @ops: callbacks, or NULL
 * @ops_arg: argument of the callbacks
 */
struct config {
	GMutex lock;
	GCond advanced;
	struct state *state;
	bool complete;
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
