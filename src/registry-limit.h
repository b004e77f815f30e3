/*
 * Rate limit of an endpoint for all daemons together, which it names or has
 * while it is cold, and this daemon's share of it. Does no I/O.
 */
#ifndef BL_REGISTRY_LIMIT_H
#define BL_REGISTRY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct endpoint_limit - rate limit of one incarnation of an endpoint.
 * @named: the endpoint names a limit
 * @unreadable: its newest response names a limit that can't be read
 * @per_s: that limit, in requests a second from all daemons together
 * @cold_per_s: requests a second that it tolerates while it is cold; 0 for any
 *	number
 * @cold_until_ms: loop time until which it is cold; 0 for never
 * @since_ms: loop time as of which there is a limit
 * @as_of_ms: loop time as of which the limit, or that there is none, is known;
 *	0 for never
 * @heard_ms: loop time of the newest response to this daemon that named a limit
 *	or ended one; 0 for never
 * @changed_ms: loop time at which the limit or the cell's part of it last
 *	changed
 * @cell_users: daemons of this daemon's cell that may use the endpoint
 * @cell_each_per_s: requests a second that each of these may send
 * @share_per_s: requests a second that this daemon may send
 * @permits: requests that this daemon may send at once (a token bucket)
 * @refilled_ms: loop time as of which @permits was computed; it grows from then
 *	on
 */
struct endpoint_limit {
	bool named;
	bool unreadable;
	double per_s;
	double cold_per_s;
	uint64_t cold_until_ms;
	uint64_t since_ms;
	uint64_t as_of_ms;
	uint64_t heard_ms;
	uint64_t changed_ms;
	unsigned cell_users;
	double cell_each_per_s;
	double share_per_s;
	double permits;
	uint64_t refilled_ms;
};

double endpoint_limit_normalize(double, const struct endpoint_limit *);
bool endpoint_limit_set(struct endpoint_limit *, double, uint64_t);
bool endpoint_limit_clear(struct endpoint_limit *, uint64_t);
bool endpoint_limit_superseded(const struct endpoint_limit *, uint64_t);
bool endpoint_limit_merge(struct endpoint_limit *, double, uint64_t, uint64_t);
bool endpoint_limit_cold(const struct endpoint_limit *, uint64_t);
bool endpoint_limit_active(const struct endpoint_limit *, uint64_t);
bool endpoint_limit_set_cold(struct endpoint_limit *, double, uint64_t,
    uint64_t);
double endpoint_limit_rate(const struct endpoint_limit *, uint64_t);
double endpoint_limit_max_users(const struct endpoint_limit *, uint64_t);
void endpoint_limit_init_permits(struct endpoint_limit *, double, uint64_t);
void endpoint_limit_set_share(struct endpoint_limit *, double, uint64_t);
double endpoint_limit_wait_ms(const struct endpoint_limit *, unsigned,
    uint64_t);
bool endpoint_limit_take_permit(struct endpoint_limit *, uint64_t);
void endpoint_limit_return_permit(struct endpoint_limit *);

#endif
