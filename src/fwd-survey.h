/* Survey of the endpoints of a service: whether most of them are silent. */
#ifndef BL_FWD_SURVEY_H
#define BL_FWD_SURVEY_H

#include <stdbool.h>
#include <stdint.h>

struct fwd_send;

/**
 * struct fwd_survey - endpoints of one service that this daemon waits for.
 * @taken_ms: loop time of the survey; 0 for never
 * @waiting: endpoints that a byte is expected from
 * @silent: of these, the ones that are silent
 * @shared_until_ms: silence counts as shared by most of them before this loop
 *	time
 */
struct fwd_survey {
	uint64_t taken_ms;
	unsigned waiting;
	unsigned silent;
	uint64_t shared_until_ms;
};

bool fwd_survey_judge(const struct fwd_survey *);
bool fwd_survey_is_shared(const struct fwd_send *, uint64_t);

#endif
