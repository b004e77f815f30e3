/* Runs scripts on simulated fleets of up to a thousand daemons. */
#include "fleet-script.h"

int
main(void)
{
	return (fleet_script_main("large"));
}
