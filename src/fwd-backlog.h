/* Prefill backlog: prompt tokens that an endpoint has yet to process. Pure. */
#ifndef BL_FWD_BACKLOG_H
#define BL_FWD_BACKLOG_H

#include <stdint.h>

/**
 * struct fwd_backlog - prompt tokens sent to an endpoint and not prefilled yet.
 * @tokens: the backlog at @at_ms, in tokens
 * @rate: prefill rate, in tokens per millisecond
 * @at_ms: loop time as of which @tokens holds
 * @sent: tokens of all prompts ever sent to the endpoint
 *
 * An endpoint does not report when it has prefilled a prompt, and the first
 * event comes well after that. So the backlog is estimated from the time that
 * has passed and the prefill rate. The first event of a request confirms that
 * its prompt and all prompts sent before it are prefilled.
 */
struct fwd_backlog {
	double tokens;
	double rate;
	uint64_t at_ms;
	double sent;
};

double fwd_backlog_tokens(const struct fwd_backlog *, uint64_t);
double fwd_backlog_add(struct fwd_backlog *, double, double, uint64_t);
void fwd_backlog_confirm(struct fwd_backlog *, double, uint64_t);
void fwd_backlog_drop(struct fwd_backlog *, double, uint64_t);

#endif
