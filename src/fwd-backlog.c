/* Prefill backlog: prompt tokens that an endpoint has yet to process. Pure. */
#include <glib.h>

#include "fwd-backlog.h"

/**
 * fwd_backlog_tokens() - number of tokens left to prefill.
 * @b: the backlog
 * @now_ms: loop time
 */
double
fwd_backlog_tokens(const struct fwd_backlog *b, uint64_t now_ms)
{
	double elapsed_ms = (double)(now_ms - MIN(b->at_ms, now_ms));

	return (MAX(b->tokens - elapsed_ms * b->rate, 0));
}

/* Sets the backlog as of a loop time. */
static void
backlog_set(struct fwd_backlog *b, double tokens, uint64_t now_ms)
{
	b->tokens = tokens;
	b->at_ms = now_ms;
}

/**
 * fwd_backlog_add() - add a prompt that was sent to the endpoint.
 * @b: the backlog
 * @prompt: length of the prompt, in tokens
 * @rate: prefill rate from now on, in tokens per millisecond
 * @now_ms: loop time
 *
 * Return: position of the prompt's end in the backlog, for
 * fwd_backlog_confirm().
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
 * fwd_backlog_confirm() - a first event confirms that a prompt was prefilled.
 * @b: the backlog
 * @mark: position of the prompt; all prompts before it are prefilled too
 * @now_ms: loop time
 */
void
fwd_backlog_confirm(struct fwd_backlog *b, double mark, uint64_t now_ms)
{
	double left = fwd_backlog_tokens(b, now_ms);

	backlog_set(b, MIN(left, MAX(b->sent - mark, 0)), now_ms);
}

/**
 * fwd_backlog_drop() - remove a prompt whose request ended before its first
 *	event.
 * @b: the backlog
 * @prompt: length of the prompt, in tokens
 * @now_ms: loop time
 */
void
fwd_backlog_drop(struct fwd_backlog *b, double prompt, uint64_t now_ms)
{
	double left = fwd_backlog_tokens(b, now_ms);

	backlog_set(b, MAX(left - prompt, 0), now_ms);
}
