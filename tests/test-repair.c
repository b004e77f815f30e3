/* Runs scripts on how soon the daemons of large fleets get entries that they
 * missed. */
#include <syslog.h>

#include "event-log.h"
#include "fleet-script.h"

int
main(void)
{
	int rc;

	event_log_open("test-repair", LOG_ERR);
	rc = script_main("repair", fleet_script_commands, fleet_script_reset);
	fleet_script_reset();
	return (rc);
}
