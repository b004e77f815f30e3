/* Budgets, estimates and bounds that apply to a request. */
#include "fwd-exchange.h"

/* Bytes of a response that are held for one client; and while more than half of
 * the bytes that may be held for all clients are. */
#define HOLD_BYTES 262144
#define HOLD_LOW_BYTES 16384

/* Whether more than half of the bytes that may be held for clients are. */
static bool
fwd_memory_scarce(const struct fwd *fwd)
{
	return (fwd->held_bytes > fwd->set.held_max_bytes / 2);
}

/**
 * fwd_hold_limit() - bytes of a response that are held for one client.
 * @fwd: the proxy
 *
 * Up to this size a response is buffered until it is complete, so that a
 * truncated one can be retried. From this size of unread output on, reading
 * from the endpoint is paused.
 */
size_t
fwd_hold_limit(const struct fwd *fwd)
{
	return (fwd_memory_scarce(fwd) ? HOLD_LOW_BYTES : HOLD_BYTES);
}

/**
 * fwd_event_limit() - bytes of an event that are held until it is complete.
 * @fwd: the proxy
 */
size_t
fwd_event_limit(const struct fwd *fwd)
{
	return (fwd_memory_scarce(fwd) ? HOLD_LOW_BYTES : FWD_EVENT_MAX_BYTES);
}

/**
 * fwd_budget_get() - find or create the retry budget of a service.
 * @fwd: the proxy
 * @service: name of the service
 */
struct fwd_budget *
fwd_budget_get(struct fwd *fwd, const char *service)
{
	struct fwd_budget *b = g_hash_table_lookup(fwd->budgets, service);

	if (b == NULL) {
		b = g_new0(struct fwd_budget, 1);
		g_hash_table_insert(fwd->budgets, g_strdup(service), b);
	}
	return (b);
}

/**
 * fwd_estimate_get() - find or create the estimates of a model or service.
 * @fwd: the proxy
 * @name: name of the model or of the plain service
 */
struct fwd_estimate *
fwd_estimate_get(struct fwd *fwd, const char *name)
{
	struct fwd_estimate *estimate =
	    g_hash_table_lookup(fwd->estimates, name);

	if (estimate == NULL) {
		estimate = g_new0(struct fwd_estimate, 1);
		g_hash_table_insert(fwd->estimates, g_strdup(name), estimate);
	}
	return (estimate);
}

/**
 * fwd_exchange_estimate() - estimates of the request's model or service.
 * @ex: the exchange
 */
struct fwd_estimate *
fwd_exchange_estimate(const struct fwd_exchange *ex)
{
	return (fwd_estimate_get(ex->fwd,
	    ex->model != NULL ? ex->model->name : ex->service));
}
