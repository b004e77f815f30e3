/* What control costs this daemon: calls and bytes by purpose. */
#ifndef BL_CONTROL_TRAFFIC_H
#define BL_CONTROL_TRAFFIC_H

#include <glib.h>
#include <stdint.h>

enum traffic_kind {
	TRAFFIC_PROBE, /* probes of hosts and orders to them */
	TRAFFIC_PEER,  /* calls between daemons, asked and answered */
	TRAFFIC_LOG,   /* reads and appends of the log, and the host list */
	TRAFFIC_KINDS,
};

void control_traffic_add(enum traffic_kind, uint64_t);
void control_traffic_print(GString *);

#endif
