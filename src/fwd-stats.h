/* Counters and latency histograms of the proxy. */
#ifndef BL_FWD_STATS_H
#define BL_FWD_STATS_H

#include <glib.h>

#include "fwd-unseen.h"
#include "histogram.h"

/* Maximum number of routes, and of customers, with histograms of their own.
 * Both come from the configuration, so clients cannot add any. */
#define FWD_STATS_LABELS_MAX 64
/* Maximum number of pairs of a service and a failure domain whose sends are
 * counted. */
#define FWD_STATS_SENDS_MAX 128

/**
 * enum fwd_count - counters; fwd-stats.c has the name of each in the metrics.
 */
enum fwd_count {
	COUNT_REQUESTS,
	COUNT_COMPLETED,
	COUNT_REFUSED,
	COUNT_DENIED,
	COUNT_FAILED,
	COUNT_CLIENT_LEFT,
	COUNT_SENT,
	COUNT_RETRIED,
	COUNT_RESUMED,
	COUNT_ABORTED,
	COUNT_NOT_RUN,
	COUNT_BACKOFFS,
	COUNT_DRAINING,
	COUNT_HELD_BACK,
	COUNT_SENT_IN_BACKOFF,
	COUNT_LIMITS,
	COUNT_SENT_LIMITED,
	COUNT_LIMIT_HELD_BACK,
	COUNT_SENT_OVER_SHARE,
	COUNT_CRASHES,
	COUNT_QUARANTINED,
	COUNT_REFUSED_POISON,
	COUNT_STRAY_RESPONSES,
	COUNT_SILENT_ENDPOINTS,
	COUNT_SHARED_SILENCES,
	COUNT_HEDGED,
	COUNT_HEDGES_WON,
	COUNT_HEDGES_LOST,
	COUNT_HEDGES_WITHHELD,
	COUNT_CONNECTIONS,
	COUNT_BAD_REQUESTS,
	COUNT_KINDS,
};

/**
 * enum fwd_first_result - results of first events, of requests for a model.
 * @FIRST_IN_TIME: within the objective
 * @FIRST_LATE_FORESEEN: late, as was expected when the request was sent
 * @FIRST_LATE_UNFORESEEN: late, and expected in time, or moved since
 * @FIRST_RESULTS: number of results
 */
enum fwd_first_result {
	FIRST_IN_TIME,
	FIRST_LATE_FORESEEN,
	FIRST_LATE_UNFORESEEN,
	FIRST_RESULTS,
};

/**
 * struct fwd_latency - latency histograms of one route or customer.
 * @first_us: from the arrival of a request to the first byte of its response
 * @total_us: from the arrival of a request to the end of its response
 */
struct fwd_latency {
	struct histogram first_us;
	struct histogram total_us;
};

/**
 * struct fwd_sends - this daemon's sends of a service to a failure domain.
 * @service: name of the service
 * @domain: name of the failure domain
 * @rate: rate of the sends
 */
struct fwd_sends {
	char *service;
	char *domain;
	struct fwd_rate rate;
};

/**
 * struct fwd_stats - all counters and histograms.
 * @counts: counters, indexed by enum fwd_count
 * @routes: route name to struct fwd_latency
 * @customers: customer name to struct fwd_latency
 * @first_events: model name to counters, indexed by enum fwd_first_result
 * @sends: sends by service and failure domain, of struct fwd_sends
 */
struct fwd_stats {
	uint64_t counts[COUNT_KINDS];
	GHashTable *routes;
	GHashTable *customers;
	GHashTable *first_events;
	GPtrArray *sends;
};

void fwd_stats_init(struct fwd_stats *);
void fwd_stats_clear(struct fwd_stats *);
void fwd_stats_count(struct fwd_stats *, enum fwd_count);
void fwd_stats_add_latency(struct fwd_stats *, const char *, const char *,
    uint64_t, uint64_t);
void fwd_stats_count_first(struct fwd_stats *, const char *,
    enum fwd_first_result);
void fwd_stats_count_send(struct fwd_stats *, const char *, const char *,
    uint64_t);
void fwd_stats_print(const struct fwd_stats *, GString *);
void fwd_stats_print_shares(const struct fwd_stats *, uint64_t, GString *);

#endif
