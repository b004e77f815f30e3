/* Applies what an endpoint tells about itself in a response. */
#include <glib.h>

#include "call.h"
#include "clock.h"
#include "registry-limit.h"
#include "registry-backoff.h"
#include "event-log.h"
#include "net-head.h"
#include "target.h"

#define MS_PER_S 1000
#define MILLI 1000.0
/* Longest backoff that a target is granted. */
#define BACKOFF_MAX_MS 300000

/*
 * Starts the backoff that the target asks for in a response that refuses a
 * request. A shorter backoff does not end a longer one.
 */
static void
target_begin_backoff(struct target *target, const char *seconds, uint64_t now)
{
	uint64_t ms =
	    endpoint_backoff_normalize(net_head_parse_decimal(seconds) *
		    MS_PER_S,
		BACKOFF_MAX_MS);
	uint64_t until = atomic_load(&target->backoff_until_ms);

	while (until < now + ms &&
	    !atomic_compare_exchange_weak(&target->backoff_until_ms, &until,
		now + ms))
		;
	event_log(LOG_NOTICE, "target_asks_rest",
	    "target=%s asked=\"%.40s\" ms=%llu", target->name, seconds,
	    (unsigned long long)ms);
}

/* Copies the target's known rate limit to @known. */
static void
target_get_limit(struct target *target, struct endpoint_limit *known)
{
	*known = (struct endpoint_limit){
		.named = atomic_load(&target->limit_active),
		.per_s =
		    (double)atomic_load(&target->limit_milli_per_s) / MILLI,
		.as_of_ms = atomic_load(&target->limit_as_of_ms),
	};
}

/*
 * Applies the rate limit in a response, or that there is none: the requests per
 * second that the target accepts from all daemons together. Each daemon known
 * to be alive has the same share and exceeds it by at most one request, so a
 * few daemons stay near the limit.
 */
static void
target_update_limit(struct target *target, const char *per_s, uint64_t sent_ms,
    uint64_t now)
{
	struct endpoint_limit known;
	bool changed;

	target_get_limit(target, &known);
	if (per_s != NULL)
		changed = endpoint_limit_set(&known,
		    endpoint_limit_normalize(net_head_parse_decimal(per_s),
			&known),
		    now);
	else
		changed = endpoint_limit_superseded(&known, sent_ms) &&
		    endpoint_limit_clear(&known, now);
	atomic_store(&target->limit_active, known.named);
	atomic_store(&target->limit_milli_per_s,
	    (uint64_t)(known.per_s * MILLI));
	atomic_store(&target->limit_as_of_ms, known.as_of_ms);
	limit_set(&target->limit,
	    known.named ? endpoint_limit_rate(&known, now) : 0, 1, 0,
	    MAX(atomic_load(&target->daemons), 1));
	if (changed)
		event_log(LOG_NOTICE,
		    known.named ? "target_names_limit" : "target_lifts_limit",
		    "target=%s asked=\"%.40s\" per_s=%.3f daemons=%u",
		    target->name, per_s != NULL ? per_s : "", known.per_s,
		    atomic_load(&target->daemons));
}

/**
 * target_take_permit() - count a request against this daemon's share of the
 * rate limit.
 * @target: the target
 * @now_us: monotonic time, in us
 *
 * Return: whether the request may be sent now; if not, it is not counted.
 */
bool
target_take_permit(struct target *target, uint64_t now_us)
{
	uint64_t wait_us;

	if (!limit_admit(&target->limit, now_us, &wait_us))
		return (false);
	limit_release(&target->limit);
	return (true);
}

/**
 * target_has_permit() - whether the rate limit allows a request now.
 * @target: the target
 * @now_us: monotonic time, in us
 */
bool
target_has_permit(struct target *target, uint64_t now_us)
{
	return (!atomic_load(&target->limit_active) ||
	    atomic_load(&target->limit.next_us) <= now_us);
}

/**
 * target_apply_feedback() - apply the backoff and rate limit in a response.
 * @target: the target
 * @call: a call to it, which may not have a response
 */
void
target_apply_feedback(struct target *target, const struct call *call)
{
	uint64_t now = clock_now_ms();

	if (!call_head_received(call))
		return;
	if (call_retry_after(call) != NULL)
		target_begin_backoff(target, call_retry_after(call), now);
	target_update_limit(target, call_limit(call), call_started_ms(call),
	    now);
}
