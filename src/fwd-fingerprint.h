/* Fingerprint of a request, the same for each attempt at it. Pure. */
#ifndef BL_FWD_FINGERPRINT_H
#define BL_FWD_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

/* Upper half of a fingerprint, as log lines and settings name it. */
#define FINGERPRINT_SHORT(fingerprint) ((uint32_t)((fingerprint) >> 32))

/**
 * struct fwd_fingerprint_input - what a fingerprint is computed from.
 * @method: method of the request
 * @host: value of its Host header, or NULL
 * @target: path and query
 * @customer: name of the customer; NULL if there is none
 * @body: body of the request
 * @length: length of @body, in bytes
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
