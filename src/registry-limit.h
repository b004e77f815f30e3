/* The requests a second that an endpoint takes from all daemons together. Pure.
 */
#ifndef BL_REGISTRY_LIMIT_H
#define BL_REGISTRY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct endpoint_limit - what one incarnation of an endpoint takes.
 * @active: it names a limit
 * @unreadable: its newest answer names one that can't be read
 * @per_s: requests a second, from all daemons together
 * @since_ms: loop time as of which it names one
 * @as_of_ms: loop time as of which that, or that it names none, is known; 0 for
 *	never
 * @heard_ms: when it last told this daemon itself of a limit or its end; 0 for
 *	never
 * @changed_ms: when this daemon learned what it knows
 * @cell_users: daemons of the own cell that may use the endpoint
 * @cell_each_per_s: requests a second that each of these may send
 * @share_per_s: requests a second that this daemon may send
 * @permits: requests that it may send now
 * @refilled_ms: loop time as of which @permits were counted; they grow from it
 *on
 */
struct endpoint_limit {
	bool active;
	bool unreadable;
	double per_s;
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
double endpoint_limit_rate(const struct endpoint_limit *);
void endpoint_limit_init_permits(struct endpoint_limit *, double, uint64_t);
void endpoint_limit_set_share(struct endpoint_limit *, double, uint64_t);
double endpoint_limit_wait_ms(const struct endpoint_limit *, unsigned,
    uint64_t);
bool endpoint_limit_take_permit(struct endpoint_limit *, uint64_t);
void endpoint_limit_return_permit(struct endpoint_limit *);

#endif
