/* Choice of an endpoint by what other daemons may have sent meanwhile. Pure. */
#ifndef BL_FWD_BALANCE_H
#define BL_FWD_BALANCE_H

#include "fwd-cost.h"

bool fwd_balance_applies(const struct fwd_criteria *, unsigned);
struct endpoint *fwd_balance_choose(struct endpoint *const *, unsigned,
    unsigned, const struct fwd_criteria *, double);

#endif
