/* Fingerprints of requests and of parts of prompts. Pure. */
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

/**
 * struct fwd_part_input - what the fingerprint of a prompt's part is computed
 * from.
 * @customer: name of the customer; NULL if there is none
 * @service: name of the service
 * @model: name of the model; NULL if there is none
 * @id: the part's id
 */
struct fwd_part_input {
	const char *customer;
	const char *service;
	const char *model;
	uint64_t id;
};

uint64_t fwd_fingerprint_compute(const struct fwd_fingerprint_input *);
uint64_t fwd_fingerprint_compute_part(const struct fwd_part_input *);

#endif
