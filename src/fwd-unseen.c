/* Requests that other daemons sent and this one does not know of yet. Pure. */
#include <math.h>

#include "fwd-unseen.h"

/* Time constant of the rate of requests. A daemon of a large fleet has a few
 * requests a second, so a shorter one shows mostly chance. */
#define RATE_MS 2000.0
#define MS_PER_S 1000.0
/* Largest age that is considered. Loads are older only while none are heard;
 * an ever larger estimate would then fill all endpoints. */
#define AGE_MAX_MS 600.0

/**
 * fwd_rate_per_s() - requests per second.
 * @rate: the moving average
 * @now_ms: loop time
 */
double
fwd_rate_per_s(const struct fwd_rate *rate, uint64_t now_ms)
{
	double elapsed_ms =
	    now_ms > rate->at_ms ? (double)(now_ms - rate->at_ms) : 0;

	return (rate->per_s * exp(-elapsed_ms / RATE_MS));
}

/**
 * fwd_rate_add() - count a request.
 * @rate: the moving average
 * @now_ms: loop time
 */
void
fwd_rate_add(struct fwd_rate *rate, uint64_t now_ms)
{
	rate->per_s = fwd_rate_per_s(rate, now_ms) + MS_PER_S / RATE_MS;
	rate->at_ms = now_ms;
}

/**
 * fwd_unseen_age() - age of the known loads in ms.
 * @as_of_ms: loop time as of which they hold; 0 for unknown
 * @now_ms: loop time
 */
double
fwd_unseen_age(uint64_t as_of_ms, uint64_t now_ms)
{
	return (now_ms > as_of_ms ?
		fmin((double)(now_ms - as_of_ms), AGE_MAX_MS) :
		0);
}

/**
 * fwd_unseen_requests() - requests that other daemons sent meanwhile.
 * @own_per_s: requests per second of this daemon, taken as typical
 * @daemons: number of daemons
 * @age_ms: age of the known loads
 */
double
fwd_unseen_requests(double own_per_s, unsigned daemons, double age_ms)
{
	if (daemons < 2)
		return (0);
	return (own_per_s * (daemons - 1) * age_ms / MS_PER_S);
}

/**
 * fwd_unseen_ended() - part of the known requests of other daemons that have
 *	ended since the loads were measured.
 * @unseen: what happened since then
 */
double
fwd_unseen_ended(const struct fwd_unseen *unseen)
{
	if (unseen->duration_ms <= 0)
		return (0);
	return (1 - exp(-unseen->age_ms / unseen->duration_ms));
}

/**
 * fwd_unseen_stayed() - part of the unseen requests that have not ended yet.
 * @unseen: what happened since the loads were measured
 */
double
fwd_unseen_stayed(const struct fwd_unseen *unseen)
{
	if (unseen->duration_ms <= 0 || unseen->age_ms <= 0)
		return (1);
	return (
	    unseen->duration_ms / unseen->age_ms * fwd_unseen_ended(unseen));
}
