/* Linear transition between two values. */
#ifndef BL_RAMP_H
#define BL_RAMP_H

double ramp(double, double, double);

#endif
