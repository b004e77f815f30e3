/* The requests a second that an endpoint takes from all daemons together. Pure.
 */
#ifndef BL_DIR_LIMIT_H
#define BL_DIR_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct endpoint_limit - what one incarnation of an endpoint takes.
 * @holds: it names a limit
 * @unread: its newest answer names one that can't be read
 * @per_s: requests a second, from all daemons together
 * @since_ms: loop time as of which it names one
 * @said_ms: loop time as of which that, or that it names none, is known; 0 for
 *	never
 * @heard_ms: when it last told this daemon itself of a limit or its end; 0 for
 *	never
 * @changed_ms: when this daemon learned what it knows
 * @cell_users: daemons of the own cell that may use the endpoint
 * @cell_each_per_s: requests a second that each of these may send
 * @share_per_s: requests a second that this daemon may send
 * @turns: requests that it may send now
 * @counted_ms: loop time as of which @turns were counted; they grow from it on
 */
struct endpoint_limit {
	bool holds;
	bool unread;
	double per_s;
	uint64_t since_ms;
	uint64_t said_ms;
	uint64_t heard_ms;
	uint64_t changed_ms;
	unsigned cell_users;
	double cell_each_per_s;
	double share_per_s;
	double turns;
	uint64_t counted_ms;
};

double endpoint_limit_read(double, const struct endpoint_limit *);
bool endpoint_limit_name(struct endpoint_limit *, double, uint64_t);
bool endpoint_limit_lift(struct endpoint_limit *, uint64_t);
bool endpoint_limit_outlived(const struct endpoint_limit *, uint64_t);
bool endpoint_limit_told(struct endpoint_limit *, double, uint64_t, uint64_t);
double endpoint_limit_rate(const struct endpoint_limit *);
void endpoint_limit_begin(struct endpoint_limit *, double, uint64_t);
void endpoint_limit_share(struct endpoint_limit *, double, uint64_t);
double endpoint_limit_turn_ms(const struct endpoint_limit *, unsigned,
    uint64_t);
bool endpoint_limit_take(struct endpoint_limit *, uint64_t);
void endpoint_limit_give_back(struct endpoint_limit *);

#endif
