/* Linear transition between two values. */
#include <math.h>

#include "ramp.h"

/**
 * ramp() - part of a range that a value has passed.
 * @value: the value
 * @from: where the range begins
 * @to: where it ends, above @from
 *
 * Return: 0 up to @from, 1 from @to on.
 */
double
ramp(double value, double from, double to)
{
	return (fmin(fmax((value - from) / (to - from), 0), 1));
}
