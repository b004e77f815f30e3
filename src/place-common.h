/* Steps that several placement policies take. */
#ifndef BL_PLACE_COMMON_H
#define BL_PLACE_COMMON_H

#include "place.h"

void place_shrink(const struct place_view *, GArray *);
void place_fill_with_loads(const struct place_view *, GArray *);
void place_fill(const struct place_view *, int, bool, GArray *);

#endif
