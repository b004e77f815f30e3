/* Cost of endpoints for a request. Pure. */
#ifndef BL_FWD_COST_H
#define BL_FWD_COST_H

#include "fwd-choose.h"

void fwd_criteria_workload(const struct fwd_criteria *, double,
    struct fwd_workload *);
double fwd_cost_cross_domain(const struct fwd_criteria *);
bool fwd_cost_is_local(const struct endpoint *, const struct fwd_criteria *);
double fwd_cost_slots(const struct endpoint *, const struct fwd_criteria *);
double fwd_cost(const struct endpoint *, const struct fwd_criteria *, double,
    double *);

#endif
