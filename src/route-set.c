/* What one deployment or service can send requests to, at one moment. */
#include <string.h>

#include "route-set.h"

#define TARGETS_MAX 1024

static void
split_fill(struct route_set *set, const struct resource *routing)
{
	const char *policy;
	unsigned upto = 0;
	json_t *share;

	if (resource_exists(routing)) {
		json_object_foreach(json_object_get(routing->spec, "split"),
		    policy, share) {
			upto += (unsigned)json_integer_value(share);
			set->split[set->n_split].policy =
			    route_policy_find(policy);
			set->split[set->n_split++].cumulative_percent = upto;
		}
		return;
	}
	set->split[0].policy = route_policy_at(0);
	set->split[0].cumulative_percent = 100;
	set->n_split = 1;
}

static void
methods_fill(struct route_set *set, const struct resource *res)
{
	json_t *methods, *method;
	size_t i;

	methods = json_object_get(res->spec, "idempotent_methods");
	if (methods == NULL)
		return;
	set->idempotent_methods = g_ptr_array_new_with_free_func(g_free);
	json_array_foreach(methods, i, method)
		g_ptr_array_add(set->idempotent_methods,
		    g_strdup(json_string_value(method)));
}

/**
 * route_set_create() - make a set without targets.
 * @res: the deployment or service
 * @routing: its routing resource, or NULL for the default policy
 * @domain: failure domain of this daemon
 * @daemons: daemons that send to the targets, at least 1
 */
struct route_set *
route_set_create(const struct resource *res, const struct resource *routing,
    const char *domain, unsigned daemons)
{
	struct route_set *set;

	set = g_new0(struct route_set, 1);
	set->name = g_strdup(res->name);
	set->domain = g_strdup(domain);
	set->daemons = daemons;
	set->targets =
	    g_ptr_array_new_with_free_func((GDestroyNotify)target_unref);
	set->timeout_ms = resource_int(res, "timeout_ms", 0);
	split_fill(set, routing);
	methods_fill(set, res);
	return (set);
}

/**
 * route_set_free() - free a set.
 * @set: the set
 */
void
route_set_free(struct route_set *set)
{
	g_ptr_array_unref(set->targets);
	g_clear_pointer(&set->admission, admission_unref);
	g_clear_pointer(&set->idempotent_methods, g_ptr_array_unref);
	g_free(set->name);
	g_free(set->domain);
	g_free(set);
}

static int
compare_us(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y ? -1 : x > y);
}

/**
 * route_set_update_median() - find the median latency anew.
 * @set: the set
 */
void
route_set_update_median(struct route_set *set)
{
	uint64_t us[TARGETS_MAX];
	size_t n = 0;

	for (guint i = 0; i < set->targets->len && n < TARGETS_MAX; i++) {
		struct target *target = set->targets->pdata[i];
		uint64_t mean = atomic_load(&target->latency_us);

		if (mean > 0)
			us[n++] = mean;
	}
	if (n == 0)
		return;
	qsort(us, n, sizeof us[0], compare_us);
	atomic_store(&set->median_us, us[n / 2]);
}

static const struct route_policy *
split_draw(const struct route_set *set, uint64_t random)
{
	unsigned draw = (unsigned)(route_mix(random) % 100);

	for (size_t i = 0; i < set->n_split; i++) {
		if (draw < set->split[i].cumulative_percent)
			return (set->split[i].policy);
	}
	return (set->split[0].policy);
}

/*
 * Which targets come first: those of the own failure domain, unless a call to
 * them has failed lately.
 */
enum tier {
	TIER_LOCAL,
	TIER_REMOTE,
	TIER_LOCAL_RESTING,
	TIER_REMOTE_RESTING,
	TIERS,
};

static enum tier
target_tier(const struct route_set *set, struct target *target, uint64_t now)
{
	bool local = strcmp(target->domain, set->domain) == 0;

	if (target_in_cooldown(target, now))
		return (local ? TIER_LOCAL_RESTING : TIER_REMOTE_RESTING);
	return (local ? TIER_LOCAL : TIER_REMOTE);
}

#define US_PER_MS 1000

/* Gathers the targets of a tier; those that were tried are passed by. */
static size_t
gather(struct route_set *set, const GPtrArray *tried, enum tier tier,
    uint64_t now, struct route_candidate *c, struct target **from)
{
	uint64_t median = atomic_load(&set->median_us);
	size_t n = 0;

	for (guint i = 0; i < set->targets->len && n < TARGETS_MAX; i++) {
		struct target *target = set->targets->pdata[i];

		/* A rest that was asked for holds where all others are out,
		 * too: 35 calls went into the rests of two endpoints. */
		if (!target_valid(target, now) ||
		    target_in_backoff(target, now) ||
		    !target_has_permit(target, now * US_PER_MS))
			continue;
		if (target_tier(set, target, now) != tier)
			continue;
		if (tried != NULL &&
		    g_ptr_array_find((GPtrArray *)tried, target, NULL))
			continue;
		target_candidate(target, now, median, &c[n]);
		from[n++] = target;
	}
	return (n);
}

/**
 * route_set_choose() - choose where a request goes.
 * @set: the set, within a read section or owned
 * @req: what is known of the request; @sequence and @daemons are filled in
 * @tried: targets that it must not go to again, or NULL
 * @now: monotonic milliseconds
 * @policy: set to the policy that chose
 *
 * Targets of this daemon's failure domain go first, and those whose calls
 * failed lately last.
 *
 * Return: a target with a reference, or NULL when none may be chosen.
 */
struct target *
route_set_choose(struct route_set *set, struct route_request *req,
    const GPtrArray *tried, uint64_t now, const struct route_policy **policy)
{
	struct route_candidate c[TARGETS_MAX];
	struct target *from[TARGETS_MAX];
	size_t n = 0;

	*policy = split_draw(set, req->random);
	req->daemons = set->daemons;
	req->sequence = atomic_fetch_add(&set->sequence, 1);
	for (;;) {
		struct target *target;

		n = 0;
		for (int tier = 0; n == 0 && tier < TIERS; tier++)
			n = gather(set, tried, (enum tier)tier, now, c, from);
		if (n == 0)
			return (NULL);
		target = from[(*policy)->choose(req, c, n)];
		/* Another thread may have taken the turn meanwhile. */
		if (target_take_permit(target, now * US_PER_MS))
			return (target_ref(target));
	}
}

/**
 * route_set_has_remote() - whether other failure domains have targets that
 * were not tried.
 * @set: the set
 * @tried: targets that were tried
 */
bool
route_set_has_remote(const struct route_set *set, const GPtrArray *tried)
{
	for (guint i = 0; i < set->targets->len; i++) {
		struct target *target = set->targets->pdata[i];

		if (strcmp(target->domain, set->domain) != 0 &&
		    !g_ptr_array_find((GPtrArray *)tried, target, NULL))
			return (true);
	}
	return (false);
}

/**
 * route_set_is_idempotent() - whether a method may run more than once.
 * @set: the service
 * @method: HTTP method
 */
bool
route_set_is_idempotent(const struct route_set *set, const char *method)
{
	static const char *const usual[] = { "GET", "HEAD", "OPTIONS", NULL };

	if (set->idempotent_methods == NULL)
		return (g_strv_contains(usual, method));
	return (g_ptr_array_find_with_equal_func(set->idempotent_methods,
	    method, g_str_equal, NULL));
}
