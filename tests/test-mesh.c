/* Runs scripts on simulated fleets of daemons that exchange state. */
#include <syslog.h>

#include "event-log.h"
#include "fleet-script.h"

int
main(void)
{
	int rc;

	event_log_open("test-mesh", LOG_ERR);
	rc = script_main("mesh", fleet_script_commands, fleet_script_reset);
	fleet_script_reset();
	return (rc);
}
