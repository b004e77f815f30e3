/* Runs scripts on how soon the daemons of large fleets get entries that they
 * missed. */
#include "fleet-script.h"

int
main(void)
{
	return (fleet_script_main("repair"));
}
