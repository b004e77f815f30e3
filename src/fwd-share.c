/* Shares of customers in the capacity of a service that is short. */
#include <string.h>

#include "event-log.h"
#include "fwd-exchange.h"

/* Most customers of a service whose rates are in the metrics. */
#define PRINTED_MAX FWD_STATS_LABELS_MAX
/* A customer that asks for this multiple of its share is logged, once in this
 * time. */
#define LOGGED_EXCESS 1.5
#define LOGGED_INTERVAL_MS 10000

/* First attempts per second at all daemons, of all models of a service. */
static double
service_asked(const struct fwd *fwd, const char *service)
{
	const struct fwd_level *l;
	double asked = 0;

	TAILQ_FOREACH(l, &fwd->levels, entry)
		asked += strcmp(l->service, service) == 0 ? l->asked_per_s : 0;
	return (asked);
}

/* Adds the customers of a service. Returns the one that asks most, or NULL. */
static const struct catalog_customer *
share_add_customers(const struct fwd *fwd, struct fwd_level *l, double *most)
{
	const struct sum_table *sums =
	    &fwd->registry->sums.total[SUM_CUSTOMERS];
	const GPtrArray *customers = fwd->registry->catalog->customers;
	const struct catalog_customer *largest = NULL;

	*most = 0;
	for (guint i = 0; i < customers->len; i++) {
		const struct catalog_customer *customer = customers->pdata[i];
		double asked = fleet_customer(sums, l->service, customer->name,
		    CUSTOMER_ASKED);

		overload_share_add(&l->share,
		    fwd_customer_key(l->service, customer->name), asked);
		if (asked <= *most)
			continue;
		*most = asked;
		largest = customer;
	}
	return (largest);
}

/* Logs the customer that asks most if that is more than its share. */
static void
share_log(struct fwd_level *l, const struct catalog_customer *customer,
    double asked, uint64_t now_ms)
{
	double limit = overload_share_limit(&l->share, l->level.share);

	if (asked < LOGGED_EXCESS * limit ||
	    (l->share_logged_ms != 0 &&
		now_ms - l->share_logged_ms < LOGGED_INTERVAL_MS))
		return;
	l->share_logged_ms = now_ms;
	event_log(LOG_NOTICE, "share_exceeded",
	    "service=%s customer=%s asked=%.1f share_per_s=%.1f", l->service,
	    customer->name, asked, limit);
}

/**
 * fwd_share_update() - update what the customers of a service ask.
 * @fwd: the proxy
 * @l: the level of the service and a model
 * @now_ms: loop time
 *
 * Nothing is computed while the level refuses nothing.
 */
void
fwd_share_update(const struct fwd *fwd, struct fwd_level *l, uint64_t now_ms)
{
	const struct catalog_customer *largest;
	double most;

	memset(&l->share, 0, sizeof l->share);
	if (!fwd->set.customer_shares || l->level.priority == FWD_PRIORITIES)
		return;
	largest = share_add_customers(fwd, l, &most);
	if (largest == NULL)
		return;
	overload_share_finish(&l->share, service_asked(fwd, l->service));
	share_log(l, largest, most, now_ms);
}

/**
 * fwd_share_fraction() - fraction of a customer's requests to refuse.
 * @ex: a request of the customer
 * @l: the level of its service and model
 * @refused: fraction of the requests of its priority to refuse
 */
double
fwd_share_fraction(const struct fwd_exchange *ex, const struct fwd_level *l,
    double refused)
{
	uint32_t key = 0;

	if (refused <= 0 || l->share.n == 0)
		return (refused);
	if (ex->customer != NULL)
		key = fwd_customer_key(ex->service, ex->customer->name);
	return (overload_share_fraction(&l->share, key, refused));
}

/* Prints the rates of the customers of a service. */
static void
print_service(const struct fwd *fwd, const char *service, GString *out)
{
	const struct sum_table *sums =
	    &fwd->registry->sums.total[SUM_CUSTOMERS];
	const GPtrArray *customers = fwd->registry->catalog->customers;

	for (guint i = 0; i < MIN(customers->len, PRINTED_MAX); i++) {
		const struct catalog_customer *customer = customers->pdata[i];

		g_string_append_printf(out,
		    "banklift_customer_share{service=\"%s\",customer=\"%s\"}"
		    " %.1f\n",
		    service, customer->name,
		    fleet_customer(sums, service, customer->name,
			CUSTOMER_ADMITTED));
	}
}

/**
 * fwd_share_print() - append the customers' admitted requests per second at all
 *	daemons in the text format of metrics.
 * @fwd: the proxy
 * @out: text to append to
 */
void
fwd_share_print(const struct fwd *fwd, GString *out)
{
	const struct fwd_level *l;

	if (!fwd->set.customer_shares || fwd->registry->catalog == NULL)
		return;
	TAILQ_FOREACH(l, &fwd->levels, entry) {
		if (fwd_level_first(fwd, l))
			print_service(fwd, l->service, out);
	}
}
