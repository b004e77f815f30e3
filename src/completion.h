/* A completion: a prompt's answer, fetched as a stream from replicas. */
#ifndef BL_COMPLETION_H
#define BL_COMPLETION_H

#include <jansson.h>

#include "request.h"

/**
 * enum completion_result - what completion_next() came to.
 * @COMPLETION_CHUNK: the next chunk of the answer
 * @COMPLETION_END: the answer is whole
 * @COMPLETION_FAILED: nothing more will come
 */
enum completion_result {
	COMPLETION_CHUNK,
	COMPLETION_END,
	COMPLETION_FAILED,
};

struct completion;

struct completion *completion_create(struct request *, json_t *);
void completion_free(struct completion *);
enum completion_result completion_next(struct completion *, char **,
    struct failure *);

#endif
