/* Prompt tokens that an endpoint has yet to read. Pure. */
#include <glib.h>

#include "fwd-backlog.h"

/**
 * fwd_backlog_tokens() - tokens that are left to read.
 * @b: the backlog
 * @now_ms: loop time
 */
double
fwd_backlog_tokens(const struct fwd_backlog *b, uint64_t now_ms)
{
	double passed = (double)(now_ms - MIN(b->at_ms, now_ms));

	return (MAX(b->tokens - passed * b->rate, 0));
}

/* Sets what is left. */
static void
backlog_set(struct fwd_backlog *b, double tokens, uint64_t now_ms)
{
	b->tokens = tokens;
	b->at_ms = now_ms;
}

/**
 * fwd_backlog_add() - a prompt was sent.
 * @b: the backlog
 * @prompt: its tokens
 * @rate: tokens that the endpoint reads in a millisecond from now on
 * @now_ms: loop time
 *
 * Return: a mark of the prompt's place, for fwd_backlog_confirm().
 */
double
fwd_backlog_add(struct fwd_backlog *b, double prompt, double rate,
    uint64_t now_ms)
{
	backlog_set(b, fwd_backlog_tokens(b, now_ms) + prompt, now_ms);
	b->rate = rate;
	b->sent += prompt;
	return (b->sent);
}

/**
 * fwd_backlog_confirm() - a first event shows that a prompt was read.
 * @b: the backlog
 * @mark: of the prompt; what was sent before it is read too
 * @now_ms: loop time
 */
void
fwd_backlog_confirm(struct fwd_backlog *b, double mark, uint64_t now_ms)
{
	double left = fwd_backlog_tokens(b, now_ms);

	backlog_set(b, MIN(left, MAX(b->sent - mark, 0)), now_ms);
}

/**
 * fwd_backlog_drop() - a prompt was taken back before its first event.
 * @b: the backlog
 * @prompt: its tokens
 * @now_ms: loop time
 */
void
fwd_backlog_drop(struct fwd_backlog *b, double prompt, uint64_t now_ms)
{
	double left = fwd_backlog_tokens(b, now_ms);

	backlog_set(b, MAX(left - prompt, 0), now_ms);
}
