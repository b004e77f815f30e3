/*
 * One HTTP call to an endpoint. The thread that waits for the response drives
 * the transfer.
 */
#ifndef BL_CALL_H
#define BL_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "call-end.h"

/**
 * struct call_header - one HTTP header of the request.
 * @name: header name
 * @value: header value
 */
struct call_header {
	const char *name;
	const char *value;
};

struct call;

void call_set_held_max(size_t);
struct call *call_start(const char *, const char *, const struct call_header *,
    const void *, size_t, bool);
void call_free(struct call *);
void call_cleanup(struct call **);
bool call_poll(struct call *const *, size_t, uint64_t);
GByteArray *call_body(struct call *);
bool call_head_received(const struct call *);
bool call_ended(const struct call *);
enum call_phase call_phase(const struct call *);
int call_status(const struct call *);
const char *call_retry_after(const struct call *);
const char *call_limit(const struct call *);
uint64_t call_started_ms(const struct call *);
uint64_t call_heard_ms(const struct call *);
const char *call_header(const struct call *, const char *);
void call_each_header(const struct call *,
    void (*)(const char *, const char *, void *), void *);
uint64_t call_first_byte_us(const struct call *);

#endif
