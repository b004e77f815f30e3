/* Names of orders to endpoints and of their results. */
#include "order-ops.h"

static const char *const kind_names[] = { "join", "open", "close", "cancel",
	"leave", "stage" };
static const char *const result_names[] = { "taken", "unfit", "fenced", "other",
	"refused", "unknown" };

/**
 * order_kind_name() - name of a kind of order, for logs.
 * @kind: the kind
 */
const char *
order_kind_name(enum order_kind kind)
{
	return (kind_names[kind]);
}

/**
 * order_result_name() - name of a result, for logs.
 * @result: the result
 */
const char *
order_result_name(enum order_result result)
{
	return (result_names[result]);
}
