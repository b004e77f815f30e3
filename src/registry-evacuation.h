/* Failure domains whose endpoints the operator has asked to send nothing to. */
#ifndef BL_REGISTRY_EVACUATION_H
#define BL_REGISTRY_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Failure domains evacuated at a time. */
#define EVACUATED_MAX 64
/* Size of the name of a failure domain, in bytes, with its terminating NUL. */
#define EVACUATED_NAME_MAX 64

/**
 * struct evacuations - the evacuated failure domains as of a store offset.
 * @as_of: all requests of the operator before this offset are reflected; 0
 *	where none have been read
 * @n: number of @domains
 * @domains: names of the failure domains
 */
struct evacuations {
	uint64_t as_of;
	uint32_t n;
	char domains[EVACUATED_MAX][EVACUATED_NAME_MAX];
};

/**
 * enum evacuation_result - result of adding a failure domain.
 * @EVACUATION_ADDED: it is evacuated now, or was before
 * @EVACUATION_BAD_NAME: its name is empty or too long
 * @EVACUATION_FULL: EVACUATED_MAX others are evacuated
 */
enum evacuation_result {
	EVACUATION_ADDED,
	EVACUATION_BAD_NAME,
	EVACUATION_FULL,
};

bool evacuations_has(const struct evacuations *, const char *);
enum evacuation_result evacuations_add(struct evacuations *, const char *);
void evacuations_remove(struct evacuations *, const char *);
void evacuations_copy(struct evacuations *, const struct evacuations *);
const char *evacuation_result_name(enum evacuation_result);

#endif
