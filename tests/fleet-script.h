/* Scripts on simulated fleets of daemons that exchange state. */
#ifndef TESTS_FLEET_SCRIPT_H
#define TESTS_FLEET_SCRIPT_H

#include "fleet-model.h"
#include "script.h"

extern struct fleet_model *fleet_script_model;

/* fleet-script.c: fleets, their daemons and links. */
int fleet_script_main(const char *);
void fleet_script_reset(void);
void fleet_script_views(const char *, GString *);

/* fleet-script-config.c: configurations, entries, and how current they are. */
void fleet_script_proof(const char *, GString *);
void fleet_script_set_config(const char *, GString *);
void fleet_script_fetched(const char *, GString *);
void fleet_script_age(const char *, GString *);
void fleet_script_entries(const char *, GString *);
void fleet_script_feed(const char *, GString *);
void fleet_script_remove(const char *, GString *);
void fleet_script_removed(const char *, GString *);
void fleet_script_stream(const char *, GString *);
void fleet_script_entry_delays(const char *, GString *);
void fleet_script_members_store(const char *, GString *);

/* fleet-script-heads.c: heads that were left behind. */
void fleet_script_left_behind(const char *, GString *);
void fleet_script_leave_many(const char *, GString *);

/* fleet-script-poison.c: requests that crash endpoints. */
void fleet_script_poison_reset(void);
bool fleet_script_poison_run(uint64_t);
void fleet_script_poison(const char *, GString *);
void fleet_script_poisoned(const char *, GString *);
void fleet_script_refusing(const char *, GString *);
void fleet_script_parts(const char *, GString *);
void fleet_script_parts_result(const char *, GString *);

/* fleet-script-storm.c: random faults. */
void fleet_script_storm(const char *, GString *);

#endif
