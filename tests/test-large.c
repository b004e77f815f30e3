/* Runs scripts on simulated fleets of up to a thousand daemons. */
#include <syslog.h>

#include "event-log.h"
#include "fleet-script.h"

int
main(void)
{
	int rc;

	event_log_open("test-large", LOG_ERR);
	rc = script_main("large", fleet_script_commands, fleet_script_reset);
	fleet_script_reset();
	return (rc);
}
