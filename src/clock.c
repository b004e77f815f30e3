/*
 * Monotonic clocks that include the time during which the host is suspended.
 * Functions that make decisions do not read them but take the time as an
 * argument.
 */
#include <time.h>

#include "clock.h"

#define US_PER_S 1000000
#define NS_PER_US 1000
#define US_PER_MS 1000
/* The two clocks are read one after the other, so smaller differences between
 * them are not counted as suspension. */
#define SUSPENDED_MIN_US 20000

static uint64_t
clock_read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (
	    (uint64_t)ts.tv_sec * US_PER_S + (uint64_t)ts.tv_nsec / NS_PER_US);
}

/**
 * clock_now_us() - microseconds of CLOCK_BOOTTIME.
 *
 * The clock keeps running while the process is stopped and while the host is
 * suspended; leases and evidence rely on this.
 */
uint64_t
clock_now_us(void)
{
	return (clock_read_us(CLOCK_BOOTTIME));
}

/**
 * clock_now_ms() - milliseconds of CLOCK_BOOTTIME.
 */
uint64_t
clock_now_ms(void)
{
	return (clock_now_us() / US_PER_MS);
}

/*
 * Returns how long the host has been suspended so far. CLOCK_BOOTTIME, which
 * includes suspension, is read first: a thread that is delayed between the two
 * reads gets too small a value, never too large a one. The value kept per
 * thread never decreases.
 */
static uint64_t
clock_suspended_us(void)
{
	static _Thread_local uint64_t suspended_us;
	uint64_t boot = clock_read_us(CLOCK_BOOTTIME);
	uint64_t monotonic = clock_read_us(CLOCK_MONOTONIC);

	if (boot > monotonic + suspended_us + SUSPENDED_MIN_US)
		suspended_us = boot - monotonic;
	return (suspended_us);
}

/**
 * clock_loop_ms() - time of an event loop's current iteration, in milliseconds.
 * @loop: the loop
 *
 * The loop's own time stands still while the host is suspended, so it is used
 * for timers only; ages, deadlines and leases are measured in this time.
 */
uint64_t
clock_loop_ms(const uv_loop_t *loop)
{
	return (uv_now(loop) + clock_suspended_us() / US_PER_MS);
}
