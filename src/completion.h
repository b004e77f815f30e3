/* A completion of a prompt, read as a stream from replicas. */
#ifndef BL_COMPLETION_H
#define BL_COMPLETION_H

#include <jansson.h>

#include "request.h"

/**
 * enum completion_result - result of completion_next().
 * @COMPLETION_CHUNK: the next chunk of the text is returned
 * @COMPLETION_WAITS: there was no chunk before the given time
 * @COMPLETION_END: the text is complete
 * @COMPLETION_FAILED: the completion failed; there are no more chunks
 */
enum completion_result {
	COMPLETION_CHUNK,
	COMPLETION_WAITS,
	COMPLETION_END,
	COMPLETION_FAILED,
};

struct completion;

struct completion *completion_create(struct request *, json_t *);
void completion_free(struct completion *);
enum completion_result completion_next(struct completion *, uint64_t, char **,
    struct failure *);

#endif
