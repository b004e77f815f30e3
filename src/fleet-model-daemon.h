/* Parts of the model of a fleet: its daemons and their datagrams. */
#ifndef BL_FLEET_MODEL_DAEMON_H
#define BL_FLEET_MODEL_DAEMON_H

#include "fleet-model.h"

/* Virtual time starts here, since 0 stands for never. */
#define MODEL_START_MS 1000
/* First letter of the keys of entries that were removed. */
#define MODEL_REMOVED_KEY 'r'
/* Daemons start within this time, in any order. */
#define MODEL_START_SPREAD_MS 300

void model_daemon_start(struct model_daemon *);
void model_daemon_stop(struct model_daemon *);
void model_daemon_step(struct model_daemon *);
void model_daemon_read(struct model_daemon *);
void model_daemon_feed(struct model_daemon *);

void fleet_model_write(struct fleet_model *, unsigned);
void fleet_model_step_stream(struct fleet_model *);
void model_daemon_learn(struct model_daemon *, uint64_t);
void model_daemon_learn_until(struct model_daemon *, uint64_t);

struct sockaddr_in fleet_model_address(unsigned);
GPtrArray *fleet_model_datagrams(void);
void fleet_model_send(void *, const struct sockaddr_in *, const char *, size_t);
void fleet_model_deliver(struct fleet_model *);

#endif
