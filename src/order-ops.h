/* Orders to endpoints, and queries for their reports, for any adapter. */
#ifndef BL_ORDER_OPS_H
#define BL_ORDER_OPS_H

#include <glib.h>
#include <stdint.h>

#include "net-conn.h"

/**
 * enum order_kind - action that an order requests of an endpoint.
 * @ORDER_JOIN: become a member of a group and load its model
 * @ORDER_OPEN: to a head: start to serve
 * @ORDER_CLOSE: to a head: complete running requests, then stop serving
 * @ORDER_CANCEL: to a head: abort running requests and stop serving
 * @ORDER_LEAVE: leave the group
 * @ORDER_STAGE: copy a model onto the host in the background
 */
enum order_kind {
	ORDER_JOIN,
	ORDER_OPEN,
	ORDER_CLOSE,
	ORDER_CANCEL,
	ORDER_LEAVE,
	ORDER_STAGE,
};

/**
 * struct order - one order.
 * @kind: requested action
 * @fence: fencing token of the placer
 * @group: name of the group
 * @epoch: epoch of the group
 * @model: ORDER_JOIN, ORDER_STAGE: name of the model
 * @members: ORDER_JOIN: ids of the members, the head first
 */
struct order {
	enum order_kind kind;
	int64_t fence;
	const char *group;
	int64_t epoch;
	const char *model;
	const GPtrArray *members;
};

/**
 * enum order_result - result of an order.
 * @ORDER_ACCEPTED: begun or done
 * @ORDER_BAD_STATE: not valid in the endpoint's state
 * @ORDER_FENCED: the endpoint has seen a newer placer or epoch
 * @ORDER_ADDRESS_REUSED: another incarnation has the address
 * @ORDER_REFUSED: refused for another reason
 * @ORDER_UNKNOWN: no response; it may be carried out later
 */
enum order_result {
	ORDER_ACCEPTED,
	ORDER_BAD_STATE,
	ORDER_FENCED,
	ORDER_ADDRESS_REUSED,
	ORDER_REFUSED,
	ORDER_UNKNOWN,
};

struct endpoint_report;

/* Called when an order has ended. */
typedef void order_fn(void *, enum order_result);

/**
 * enum order_report_status - result of a query for an endpoint's report.
 * @ORDER_REPORT_OK: the endpoint sent its report
 * @ORDER_REPORT_NONE: no response; also a refused connection, which a network
 *	partition can cause too
 * @ORDER_REPORT_ADDRESS_REUSED: another incarnation has its address
 */
enum order_report_status {
	ORDER_REPORT_OK,
	ORDER_REPORT_NONE,
	ORDER_REPORT_ADDRESS_REUSED,
};

/* Called when a query for a report has ended; the report may be NULL. */
typedef void order_report_fn(void *, enum order_report_status,
    struct endpoint_report *);

/**
 * struct order_ops - an adapter's calls to endpoints; each returns false if not
 * begun.
 * @send: send an order to the endpoint with an id, over a pool
 * @query: query it for its report
 */
struct order_ops {
	bool (*send)(struct net_pool *, const char *, const struct order *,
	    unsigned, order_fn *, void *);
	bool (*query)(struct net_pool *, const char *, unsigned,
	    order_report_fn *, void *);
};

const char *order_kind_name(enum order_kind);
const char *order_result_name(enum order_result);

#endif
