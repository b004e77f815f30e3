/*
 * Random numbers for identifiers and jitter. Functions that make decisions get
 * their random numbers as arguments.
 */
#ifndef BL_RANDOM_H
#define BL_RANDOM_H

#include <stdint.h>

uint64_t random_u64(void);
uint32_t random_u32(void);
uint32_t random_below(uint32_t);
uint32_t random_sequence_below(uint64_t *, uint32_t);
char *random_id(void);

#endif
