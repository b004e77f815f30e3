/* Sums over all daemons, as known to this one. */
#ifndef BL_FLEET_SUMS_H
#define BL_FLEET_SUMS_H

#include "sum-table.h"

/**
 * struct fleet_sums - sums over all daemons.
 * @own: what this daemon itself counted, by kind
 * @total: the sums over all daemons, by kind; some hundred ms old
 * @told: other daemons' rows are in @total; otherwise it is this daemon's own,
 *	times the number of daemons
 */
struct fleet_sums {
	struct sum_table own[SUM_KINDS];
	struct sum_table total[SUM_KINDS];
	bool told;
};

#endif
