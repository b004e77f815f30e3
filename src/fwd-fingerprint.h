/* What a request asks for, whatever its attempt is called. Pure. */
#ifndef BL_FWD_FINGERPRINT_H
#define BL_FWD_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

/* The part of a fingerprint that log lines have. */
#define FINGERPRINT_SHORT(work) ((uint32_t)((work) >> 32))

/**
 * struct fwd_fingerprint_input - what makes two requests the same work.
 * @method: of the request
 * @host: that it is addressed to
 * @target: path and query
 * @customer: who asks; NULL for anyone
 * @body: of the request
 * @length: of @body, in bytes
 */
struct fwd_fingerprint_input {
	const char *method;
	const char *host;
	const char *target;
	const char *customer;
	const void *body;
	size_t length;
};

uint64_t fwd_fingerprint_compute(const struct fwd_fingerprint_input *);

#endif
