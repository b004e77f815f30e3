/*
 * Random numbers for identifiers and jitter. Functions that make decisions get
 * their random numbers as arguments.
 */
#include <errno.h>
#include <glib.h>
#include <sys/random.h>

#include "random.h"

/* Multiplier and increment of a linear congruential sequence of 64 bits. */
#define SEQUENCE_FACTOR 6364136223846793005u
#define SEQUENCE_INCREMENT 1442695040888963407u

/**
 * random_u64() - 64 random bits from the kernel.
 */
uint64_t
random_u64(void)
{
	uint64_t x = 0;

	while (getrandom(&x, sizeof x, 0) != (ssize_t)sizeof x) {
		if (errno != EINTR)
			g_error("getrandom failed");
	}
	return (x);
}

/**
 * random_u32() - 32 random bits, not for cryptographic use.
 */
uint32_t
random_u32(void)
{
	return (g_random_int());
}

/**
 * random_below() - random number from 0 to @bound - 1.
 * @bound: 1 to INT32_MAX
 */
uint32_t
random_below(uint32_t bound)
{
	return ((uint32_t)g_random_int_range(0, (gint32)bound));
}

/**
 * random_sequence_below() - next number of a sequence that its seed determines.
 * @state: state of the sequence; the seed at first
 * @bound: exclusive upper bound
 */
uint32_t
random_sequence_below(uint64_t *state, uint32_t bound)
{
	*state = *state * SEQUENCE_FACTOR + SEQUENCE_INCREMENT;
	return ((uint32_t)(*state >> 33) % bound);
}

/**
 * random_id() - identifier of 128 random bits in hexadecimal; free with
 * g_free().
 */
char *
random_id(void)
{
	return (g_strdup_printf("%016" G_GINT64_MODIFIER
				"x%016" G_GINT64_MODIFIER "x",
	    random_u64(), random_u64()));
}
