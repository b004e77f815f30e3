/* Parses the responses on an outgoing connection. */
#ifndef BL_NET_RESPONSE_H
#define BL_NET_RESPONSE_H

#include <stdbool.h>
#include <stddef.h>

struct net_conn;

bool net_response_parse(struct net_conn *, const char *, size_t);
void net_response_end(struct net_conn *);

#endif
