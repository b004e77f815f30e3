/*
 * Simulates the suspension of a host for banklift-edge: on SIGUSR2 the process
 * blocks for SUSPEND_MS milliseconds (environment variable, default 4000).
 * CLOCK_MONOTONIC does not count this time, CLOCK_BOOTTIME does. Overrides
 * clock_gettime() of the C library at link time.
 */
#include <signal.h>
#include <stdlib.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define SUSPEND_MS 4000
#define NS_PER_S 1000000000LL
#define NS_PER_MS 1000000LL

static volatile long long suspended_ns;
static long long suspend_ns = SUSPEND_MS * NS_PER_MS;

int
clock_gettime(clockid_t id, struct timespec *ts)
{
	long rc = syscall(SYS_clock_gettime, id, ts);
	long long ns;

	if (rc != 0 || (id != CLOCK_MONOTONIC && id != CLOCK_MONOTONIC_COARSE))
		return ((int)rc);
	ns = ts->tv_sec * NS_PER_S + ts->tv_nsec - suspended_ns;
	ts->tv_sec = ns / NS_PER_S;
	ts->tv_nsec = ns % NS_PER_S;
	return (0);
}

static void
on_suspend(int number)
{
	struct timespec left = {
		.tv_sec = suspend_ns / NS_PER_S,
		.tv_nsec = suspend_ns % NS_PER_S,
	};

	while (nanosleep(&left, &left) != 0)
		;
	suspended_ns += suspend_ns;
}

__attribute__((constructor)) static void
suspend_begin(void)
{
	const struct sigaction action = { .sa_handler = on_suspend };
	const char *ms = getenv("SUSPEND_MS");

	if (ms != NULL)
		suspend_ns = strtoll(ms, NULL, 10) * NS_PER_MS;
	sigaction(SIGUSR2, &action, NULL);
}
