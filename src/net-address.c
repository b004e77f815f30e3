/* Addresses of daemons and endpoints. */
#include <arpa/inet.h>
#include <glib.h>

#include "net-address.h"

/**
 * net_address_make() - an address of its parts.
 * @ip: IPv4 address, in network order
 * @port: port, in host order
 */
struct sockaddr_in
net_address_make(uint32_t ip, uint16_t port)
{
	const struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = ip };

	return (addr);
}

/**
 * net_address_key() - number that is the same for equal addresses alone.
 * @addr: the address
 */
uint64_t
net_address_key(const struct sockaddr_in *addr)
{
	return ((uint64_t)addr->sin_addr.s_addr << 16 | addr->sin_port);
}

/**
 * net_address_format() - an address as text, "ip:port".
 * @addr: the address
 *
 * Return: the text; free with g_free().
 */
char *
net_address_format(const struct sockaddr_in *addr)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &addr->sin_addr, ip, sizeof ip);
	return (g_strdup_printf("%s:%u", ip, ntohs(addr->sin_port)));
}

/**
 * net_address_equal() - whether two addresses have the same host and port.
 * @a: one address
 * @b: the other
 */
bool
net_address_equal(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return (a->sin_addr.s_addr == b->sin_addr.s_addr &&
	    a->sin_port == b->sin_port);
}
