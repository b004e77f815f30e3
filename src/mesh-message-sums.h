/* XDR encoding of the sums that daemons send each other. */
#ifndef BL_MESH_MESSAGE_SUMS_H
#define BL_MESH_MESSAGE_SUMS_H

#include <rpc/rpc.h>

#include "mesh-message.h"

uint32_t mesh_sums_count(const struct mesh_message *);
bool_t mesh_sums_xdr(XDR *, struct mesh_message *);

#endif
