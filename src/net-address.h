/* Addresses of daemons and endpoints. */
#ifndef BL_NET_ADDRESS_H
#define BL_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

struct sockaddr_in net_address_make(uint32_t, uint16_t);
uint64_t net_address_key(const struct sockaddr_in *);
char *net_address_format(const struct sockaddr_in *);
bool net_address_equal(const struct sockaddr_in *, const struct sockaddr_in *);

#endif
