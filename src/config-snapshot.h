/* Snapshots of the state, written to the log before its records expire. */
#ifndef BL_CONFIG_SNAPSHOT_H
#define BL_CONFIG_SNAPSHOT_H

#include "config.h"

void config_snapshot_note(struct config *, json_t *);
bool config_snapshot_restore(struct config *, uint64_t);
bool config_snapshot_write(struct config *, GError **);

#endif
