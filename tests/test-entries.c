/* Runs scripts on how soon the daemons of large fleets know changed entries. */
#include "fleet-script.h"

int
main(void)
{
	return (fleet_script_main("entries"));
}
