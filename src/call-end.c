/* Decides what follows the end of a call to an endpoint. */
#include "call-end.h"

static bool
status_is_transient(int status)
{
	return (status == 502 || status == 503 || status == 504);
}

/*
 * The endpoint provably did not run the request. It may be retried at another
 * endpoint, whether it is idempotent or not.
 */
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

/*
 * The endpoint may have run the request. It is retried only if it is
 * idempotent.
 */
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
 * call_end_decide() - decide what follows the end of a call.
 * @end: how the call ended
 *
 * The outcome is "not run" only if nothing of the request can have reached the
 * endpoint, or if the endpoint itself states that it did not start it.
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
	if (end->idempotent && status_is_transient(end->status) &&
	    !end->expired)
		return (verdict_may_have_run(end));
	return (pass);
}
