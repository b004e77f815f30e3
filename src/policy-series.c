/* Metrics per routing policy and per request class; a fixed set of labels. */
#include "policy-series.h"

#define POLICIES_MAX 16

/* The last series is for requests that ended before a policy was applied. */
static struct series by_policy[POLICIES_MAX + 1];
static struct series by_class[2];

/**
 * policy_series() - the series of a routing policy.
 * @policy: the policy, or NULL for requests without one
 */
struct series *
policy_series(const struct route_policy *policy)
{
	for (size_t i = 0; i < POLICIES_MAX; i++) {
		const struct route_policy *p = route_policy_at(i);

		if (p == NULL)
			break;
		if (p == policy)
			return (&by_policy[i]);
	}
	return (&by_policy[POLICIES_MAX]);
}

/**
 * class_series() - the series of a request class.
 * @batch: the class "batch" rather than "interactive"
 */
struct series *
class_series(bool batch)
{
	return (&by_class[batch ? 1 : 0]);
}

/**
 * policy_series_print() - append the series of all policies and classes to the
 * metrics page.
 * @out: the metrics page
 */
void
policy_series_print(GString *out)
{
	for (size_t i = 0; route_policy_at(i) != NULL; i++)
		series_print(&by_policy[i], "policy", route_policy_at(i)->name,
		    out);
	series_print(&by_policy[POLICIES_MAX], "policy", "none", out);
	series_print(&by_class[0], "class", "interactive", out);
	series_print(&by_class[1], "class", "batch", out);
}
