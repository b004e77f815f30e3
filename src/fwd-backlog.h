/* Prompt tokens that an endpoint has yet to read. Pure. */
#ifndef BL_FWD_BACKLOG_H
#define BL_FWD_BACKLOG_H

#include <stdint.h>

/**
 * struct fwd_backlog - prompt tokens sent to an endpoint and not read yet.
 * @tokens: of them, at @at_ms
 * @rate: tokens that it reads in a millisecond
 * @at_ms: loop time
 * @sent: all tokens ever sent
 *
 * An endpoint does not say when it has read a prompt; its first event comes
 * well after that. So what is left is worked out from the time that has passed,
 * and a first event shows that all that was sent before its request is read.
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
