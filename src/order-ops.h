/* Orders to endpoints and what they report, as the program sees them. */
#ifndef BL_ORDER_OPS_H
#define BL_ORDER_OPS_H

#include <glib.h>
#include <stdint.h>

#include "net-conn.h"

/**
 * enum order_kind - what an endpoint is told to do.
 * @ORDER_JOIN: become a member of a group, loading its model
 * @ORDER_OPEN: to a head: serve
 * @ORDER_CLOSE: to a head: finish what runs, then serve no more
 * @ORDER_CANCEL: to a head: end what runs and serve no more
 * @ORDER_LEAVE: be in no group
 * @ORDER_STAGE: load a model onto the host beside all other work
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
 * @kind: what to do
 * @fence: fencing token of the placer
 * @group: name of the group
 * @epoch: of the group
 * @model: ORDER_JOIN, ORDER_STAGE: the model
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
 * enum order_result - what became of an order.
 * @ORDER_ACCEPTED: begun or done
 * @ORDER_BAD_STATE: it does not fit the endpoint's state
 * @ORDER_FENCED: a newer placer or epoch was there before
 * @ORDER_ADDRESS_REUSED: another incarnation has the address
 * @ORDER_REFUSED: refused for another reason
 * @ORDER_UNKNOWN: no answer; it may be carried out later
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

/* Told how an order ended. */
typedef void order_fn(void *, enum order_result);
/**
 * enum order_report_status - how an endpoint answered a question.
 * @ORDER_REPORT_OK: by its report
 * @ORDER_REPORT_NONE: none; a refused connection too, since cuts may refuse
 * @ORDER_REPORT_ADDRESS_REUSED: another incarnation has its address
 */
enum order_report_status {
	ORDER_REPORT_OK,
	ORDER_REPORT_NONE,
	ORDER_REPORT_ADDRESS_REUSED,
};

/* Told what an endpoint reports; NULL without a report. */
typedef void order_report_fn(void *, enum order_report_status,
    struct endpoint_report *);

/**
 * struct order_ops - an adapter's calls to endpoints.
 * @send: give an order to the endpoint of a pool, by its id
 * @query: ask it for its report
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
