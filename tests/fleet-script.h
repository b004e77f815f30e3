/* Scripts on simulated fleets of daemons that exchange state. */
#ifndef TESTS_FLEET_SCRIPT_H
#define TESTS_FLEET_SCRIPT_H

#include "script.h"

extern const struct script_command fleet_script_commands[];

void fleet_script_reset(void);

#endif
