/* Runs scripts on simulated fleets of daemons that exchange state. */
#include "fleet-script.h"

int
main(void)
{
	return (fleet_script_main("mesh"));
}
