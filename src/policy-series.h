/* Metrics per routing policy and per request class; a fixed set of labels. */
#ifndef BL_POLICY_SERIES_H
#define BL_POLICY_SERIES_H

#include <stdbool.h>

#include "route.h"
#include "series.h"

struct series *policy_series(const struct route_policy *);
struct series *class_series(bool);
void policy_series_print(GString *);

#endif
