/*
 * Monotonic clocks that include the time during which the host is suspended.
 * Functions that make decisions do not read them but take the time as an
 * argument.
 */
#ifndef BL_CLOCK_H
#define BL_CLOCK_H

#include <stdint.h>
#include <uv.h>

uint64_t clock_now_ms(void);
uint64_t clock_now_us(void);
uint64_t clock_loop_ms(const uv_loop_t *);

#endif
