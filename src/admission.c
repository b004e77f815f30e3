/* Admission to one deployment: threads wait here for their slot. */
#include "admission.h"
#include "clock.h"

/**
 * admission_create() - make an admission without bounds, with one reference.
 * @name: name of the deployment
 */
struct admission *
admission_create(const char *name)
{
	struct admission *a;

	a = g_new0(struct admission, 1);
	atomic_init(&a->references, 1);
	a->name = g_strdup(name);
	g_mutex_init(&a->lock);
	g_cond_init(&a->granted);
	fair_queue_init(&a->queue, 0);
	return (a);
}

/**
 * admission_ref() - take a reference.
 * @a: the admission
 */
struct admission *
admission_ref(struct admission *a)
{
	atomic_fetch_add(&a->references, 1);
	return (a);
}

/**
 * admission_unref() - give a reference back.
 * @a: the admission
 */
void
admission_unref(struct admission *a)
{
	if (atomic_fetch_sub(&a->references, 1) != 1)
		return;
	g_mutex_clear(&a->lock);
	g_cond_clear(&a->granted);
	g_free(a->name);
	g_free(a);
}

/* Grants what can be granted; the lock is held. */
static void
admission_grant(struct admission *a)
{
	bool any = false;

	while (fair_queue_grant_next(&a->queue))
		any = true;
	if (any)
		g_cond_broadcast(&a->granted);
}

/**
 * admission_set_slots() - set how many requests are served at once.
 * @a: the admission
 * @slots: this daemon's share; 0 for any number
 */
void
admission_set_slots(struct admission *a, unsigned slots)
{
	g_mutex_lock(&a->lock);
	a->queue.slots = slots;
	admission_grant(a);
	g_mutex_unlock(&a->lock);
}

/**
 * admission_acquire() - wait for a slot.
 * @a: the admission
 * @t: the request's ticket, with weight, class and deadline
 * @flow: its customer's flow, of this deployment only
 * @retry_ms: set when it is refused: when to come back
 *
 * Return: FAIR_GRANTED, then admission_release() is owed; or FAIR_REFUSED.
 */
enum fair_verdict
admission_acquire(struct admission *a, struct fair_ticket *t,
    struct fair_flow *flow, uint64_t *retry_ms)
{
	uint64_t now = clock_now_ms();
	enum fair_verdict verdict;
	gint64 until;

	g_mutex_lock(&a->lock);
	verdict = fair_queue_enter(&a->queue, t, flow, now, retry_ms);
	until = g_get_monotonic_time() +
	    (gint64)(t->deadline_ms - MIN(now, t->deadline_ms)) * 1000;
	while (verdict == FAIR_QUEUED && !t->granted) {
		if (g_cond_wait_until(&a->granted, &a->lock, until) ||
		    t->granted)
			continue;
		fair_queue_cancel(&a->queue, t);
		*retry_ms = a->queue.mean_ms;
		verdict = FAIR_REFUSED;
	}
	g_mutex_unlock(&a->lock);
	return (verdict == FAIR_QUEUED ? FAIR_GRANTED : verdict);
}

/**
 * admission_release() - give a slot back.
 * @a: the admission
 * @held_ms: how long it was held
 */
void
admission_release(struct admission *a, uint64_t held_ms)
{
	g_mutex_lock(&a->lock);
	fair_queue_release(&a->queue, held_ms);
	admission_grant(a);
	g_mutex_unlock(&a->lock);
}
