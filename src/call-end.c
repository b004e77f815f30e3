/* How a call to an endpoint ended, and what follows. */
#include "call-end.h"

static bool
status_transient(int status)
{
	return (status == 502 || status == 503 || status == 504);
}

/* A call that provably did not run may be tried elsewhere, by anyone. */
static struct call_verdict
verdict_not_run(const struct call_end *end)
{
	struct call_verdict v = { CALL_RETRY, OUTCOME_NOT_RUN,
		ERROR_NO_ENDPOINT };

	if (end->delivered) {
		v.action = end->resumable ? CALL_RESUME : CALL_FAIL;
		v.outcome = OUTCOME_UNKNOWN;
		v.error = ERROR_STREAM_BROKEN;
	} else if (end->expired) {
		v.action = CALL_FAIL;
		v.error = ERROR_DEADLINE;
	}
	return (v);
}

/* A call that may have run; tried again only if that does no harm. */
static struct call_verdict
verdict_may_have_run(const struct call_end *end)
{
	struct call_verdict v = { CALL_RETRY, OUTCOME_UNKNOWN,
		ERROR_ENDPOINT_FAILED };

	if (end->delivered) {
		v.error = ERROR_STREAM_BROKEN;
		v.action = end->resumable ? CALL_RESUME : CALL_FAIL;
	}
	if (end->expired) {
		v.error = ERROR_DEADLINE;
		v.action = CALL_FAIL;
	}
	if (!end->idempotent)
		v.action = CALL_FAIL;
	return (v);
}

/**
 * call_end_decide() - what follows the end of a call.
 * @end: how it ended
 *
 * "Not run" is concluded only when nothing can have reached the endpoint, or
 * when the endpoint itself said that it did not start.
 */
struct call_verdict
call_end_decide(const struct call_end *end)
{
	struct call_verdict pass = { CALL_PASS, OUTCOME_WHOLE, ERROR_NONE };

	if (end->phase == CALL_CONNECTING)
		return (verdict_not_run(end));
	if (end->phase == CALL_COMPLETE && end->not_started)
		return (verdict_not_run(end));
	if (end->phase != CALL_COMPLETE || end->malformed)
		return (verdict_may_have_run(end));
	if (end->idempotent && status_transient(end->status) && !end->expired)
		return (verdict_may_have_run(end));
	return (pass);
}
