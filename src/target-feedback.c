/* What a target says of itself in an answer: rest, and a limit. */
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
/* A target that asks for rest is left alone for no longer. */
#define CLOSED_MAX_MS 300000

/* The target turned a request away and wants rest; a shorter rest does not end
 * a longer one. */
static void
target_ask_rest(struct target *target, const char *seconds, uint64_t now)
{
	uint64_t ms =
	    endpoint_backoff_normalize(net_head_parse_decimal(seconds) *
		    MS_PER_S,
		CLOSED_MAX_MS);
	uint64_t until = atomic_load(&target->backoff_until_ms);

	while (until < now + ms &&
	    !atomic_compare_exchange_weak(&target->backoff_until_ms, &until,
		now + ms))
		;
	event_log(LOG_NOTICE, "target_asks_rest",
	    "target=%s asked=\"%.40s\" ms=%llu", target->name, seconds,
	    (unsigned long long)ms);
}

/* What is known of the limit of a target. */
static void
limit_known(struct target *target, struct endpoint_limit *known)
{
	*known = (struct endpoint_limit){
		.active = atomic_load(&target->limit_active),
		.per_s =
		    (double)atomic_load(&target->limit_milli_per_s) / MILLI,
		.as_of_ms = atomic_load(&target->limit_as_of_ms),
	};
}

/*
 * The target names the requests a second that it takes from all daemons
 * together, or none. Each daemon that is known to live has the same share and
 * passes it by no more than one, so a few daemons stay near the limit.
 */
static void
target_hear_limit(struct target *target, const char *per_s, uint64_t sent_ms,
    uint64_t now)
{
	struct endpoint_limit known;
	bool news;

	limit_known(target, &known);
	if (per_s != NULL)
		news = endpoint_limit_set(&known,
		    endpoint_limit_normalize(net_head_parse_decimal(per_s),
			&known),
		    now);
	else
		news = endpoint_limit_superseded(&known, sent_ms) &&
		    endpoint_limit_clear(&known, now);
	atomic_store(&target->limit_active, known.active);
	atomic_store(&target->limit_milli_per_s,
	    (uint64_t)(known.per_s * MILLI));
	atomic_store(&target->limit_as_of_ms, known.as_of_ms);
	limit_set(&target->limit,
	    known.active ? endpoint_limit_rate(&known) : 0, 1, 0,
	    MAX(atomic_load(&target->daemons), 1));
	if (news)
		event_log(LOG_NOTICE,
		    known.active ? "target_names_limit" : "target_lifts_limit",
		    "target=%s asked=\"%.40s\" per_s=%.3f daemons=%u",
		    target->name, per_s != NULL ? per_s : "", known.per_s,
		    atomic_load(&target->daemons));
}

/**
 * target_take_permit() - whether a request may be sent now; it is counted then.
 * @target: the target
 * @now_us: monotonic microseconds
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
 * target_has_permit() - whether a request could be sent now.
 * @target: the target
 * @now_us: monotonic microseconds
 */
bool
target_has_permit(struct target *target, uint64_t now_us)
{
	return (!atomic_load(&target->limit_active) ||
	    atomic_load(&target->limit.next_us) <= now_us);
}

/**
 * target_apply_feedback() - take in what an answer says of the target.
 * @target: the target
 * @call: a call to it, which may have no answer
 */
void
target_apply_feedback(struct target *target, const struct call *call)
{
	uint64_t now = clock_now_ms();

	if (!call_head_received(call))
		return;
	if (call_retry_after(call) != NULL)
		target_ask_rest(target, call_retry_after(call), now);
	target_hear_limit(target, call_limit(call), call_started_ms(call), now);
}
