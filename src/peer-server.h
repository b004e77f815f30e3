/* Server side of the ONC RPC between daemons. */
#ifndef BL_PEER_SERVER_H
#define BL_PEER_SERVER_H

#include <glib.h>
#include <stdbool.h>

struct server;

bool peer_server_open(struct server *, GError **);
void *peer_server_run(void *);

#endif
