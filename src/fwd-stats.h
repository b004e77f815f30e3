/* Counters and histograms of the forwarding engine, as text. */
#ifndef BL_FWD_STATS_H
#define BL_FWD_STATS_H

#include <glib.h>

#include "histogram.h"

/* Classes and customers that get histograms of their own; a caller cannot
 * make more, since both come from the configuration. */
#define FWD_STATS_LABELS_MAX 64

/**
 * enum fwd_count - what is counted.
 */
enum fwd_count {
	COUNT_REQUESTS,
	COUNT_ANSWERED,
	COUNT_REFUSED,
	COUNT_DENIED,
	COUNT_FAILED,
	COUNT_CLIENT_LEFT,
	COUNT_SENT,
	COUNT_RETRIED,
	COUNT_RESUMED,
	COUNT_BROKEN_OFF,
	COUNT_NOT_RUN,
	COUNT_BACKOFFS,
	COUNT_DRAINING,
	COUNT_HELD_BACK,
	COUNT_SENT_IN_BACKOFF,
	COUNT_LIMITS,
	COUNT_SENT_LIMITED,
	COUNT_LIMIT_HELD_BACK,
	COUNT_SENT_OVER_SHARE,
	COUNT_LOST,
	COUNT_QUARANTINED,
	COUNT_REFUSED_POISON,
	COUNT_STRAY_ANSWERS,
	COUNT_SILENT_ENDPOINTS,
	COUNT_CONNECTIONS,
	COUNT_BAD_REQUESTS,
	COUNT_KINDS,
};

/**
 * struct fwd_latency - the histograms of one route or customer.
 * @first_us: from the request's arrival to the first byte of its answer
 * @total_us: to its end
 */
struct fwd_latency {
	struct histogram first_us;
	struct histogram total_us;
};

/**
 * struct fwd_stats - all counters and histograms.
 * @counts: by enum fwd_count
 * @routes: route name to struct fwd_latency
 * @customers: customer name to struct fwd_latency
 */
struct fwd_stats {
	uint64_t counts[COUNT_KINDS];
	GHashTable *routes;
	GHashTable *customers;
};

void fwd_stats_init(struct fwd_stats *);
void fwd_stats_clear(struct fwd_stats *);
void fwd_stats_count(struct fwd_stats *, enum fwd_count);
void fwd_stats_add_latency(struct fwd_stats *, const char *, const char *,
    uint64_t, uint64_t);
void fwd_stats_print(const struct fwd_stats *, GString *);

#endif
