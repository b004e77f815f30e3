/* Scripted tests of priorities, demand and levels. */
#include <string.h>

#include "fwd-demand.h"
#include "overload-capacity.h"
#include "overload-level.h"
#include "overload-share.h"
#include "retry-schedule.h"
#include "script.h"

static struct fwd_demand demand;
static struct sum_table table;
static struct overload_level level;

static void
reset(void)
{
	memset(&demand, 0, sizeof demand);
	memset(&table, 0, sizeof table);
	memset(&level, 0, sizeof level);
}

/* A number after "name=", which may be negative. */
static int
signed_number(const char *rest, const char *name, int fallback)
{
	g_autofree char *word = script_word(rest, name);

	return (word != NULL ? (int)g_ascii_strtoll(word, NULL, 10) : fallback);
}

/* priority route=N [customer=N]: priority of a request */
static void
exec_priority(const char *rest, GString *out)
{
	struct catalog_route route = { 0 };
	struct catalog_customer customer = { 0 };

	route.priority = signed_number(rest, "route", 0);
	customer.priority = signed_number(rest, "customer", -1);
	g_string_append_printf(out, "%d\n", fwd_priority(&route, &customer));
}

/* rank priority=N [resubmitted=1]: rank of a request in the queue */
static void
exec_rank(const char *rest, GString *out)
{
	g_string_append_printf(out, "%d\n",
	    fwd_priority_rank((int)script_number(rest, "priority", 0),
		script_number(rest, "resubmitted", 0) != 0));
}

/* Adds routes to the service, with the priorities of a list. */
static void
add_routes(struct catalog *catalog, const char *list, bool public)
{
	g_auto(GStrv) words = g_strsplit(list, ",", -1);

	for (char **w = words; *w != NULL; w++) {
		struct catalog_route *route = catalog_add_route(catalog);
		struct catalog_split split = { g_strdup("s"), 1 };

		route->priority = (int)g_ascii_strtoll(*w, NULL, 10);
		route->public = public;
		g_array_append_val(route->splits, split);
	}
}

/* Adds customers with the priorities of a list. */
static void
add_customers(struct catalog *catalog, const char *list)
{
	g_auto(GStrv) words = g_strsplit(list != NULL ? list : "", ",", -1);

	for (char **w = words; *w != NULL; w++)
		catalog_add_customer(catalog, *w)->priority =
		    (int)g_ascii_strtoll(*w, NULL, 10);
}

/*
 * service routes=N,... [customers=N,...] [public=1]: whether its requests
 * differ in priority
 */
static void
exec_service(const char *rest, GString *out)
{
	g_autofree char *routes = script_word(rest, "routes");
	g_autofree char *customers = script_word(rest, "customers");
	struct catalog *catalog = catalog_create();
	const struct catalog_service *service =
	    catalog_add_service(catalog, "s");
	unsigned invalid;

	catalog->requires_key = customers != NULL;
	add_routes(catalog, routes, script_number(rest, "public", 0) != 0);
	add_customers(catalog, customers);
	invalid = fwd_priority_prepare(catalog);
	g_string_append_printf(out, "%s, %u invalid\n",
	    fwd_priority_differs(service) ? "differ" : "same", invalid);
	catalog_unref(catalog);
}

static const char *const events[DEMAND_RATES] = { "asked", "returned",
	"admitted", "late", "refused" };

/* The key that a command names by model= and priority=. */
static uint32_t
key_of(const char *rest)
{
	g_autofree char *model = script_word(rest, "model");

	return (fwd_demand_key("s", model,
	    (int)script_number(rest, "priority", 0)));
}

/*
 * count EVENT [model=M] [priority=N] from=MS to=MS every=MS: events at an even
 * rate
 */
static void
exec_count(const char *rest, GString *out)
{
	uint64_t every = script_number(rest, "every", 1);
	uint64_t to = script_number(rest, "to", 0);

	for (uint64_t at = script_number(rest, "from", 0); at < to; at += every)
		for (unsigned i = 0; i < DEMAND_RATES; i++)
			if (g_str_has_prefix(rest, events[i]))
				fwd_demand_count(&demand, key_of(rest),
				    (enum demand_value)i, at);
}

/* due [model=M] [priority=N] in=MS at=MS: a client is told to return */
static void
exec_due(const char *rest, GString *out)
{
	uint64_t at = script_number(rest, "at", 0);

	fwd_demand_add_due(&demand, key_of(rest),
	    at + script_number(rest, "in", 0), at);
}

/* queue [model=M] [priority=N] n=N at=MS: requests are queued */
static void
exec_queue(const char *rest, GString *out)
{
	fwd_demand_clear_queued(&demand);
	for (uint64_t n = script_number(rest, "n", 0); n > 0; n--)
		fwd_demand_add_queued(&demand, key_of(rest),
		    script_number(rest, "at", 0));
}

/*
 * demand [model=M] [priority=N] at=MS [daemons=N]: demand as read from the sums
 * of that many daemons that count the same; of all priorities without one
 */
static void
exec_demand(const char *rest, GString *out)
{
	g_autofree char *model = script_word(rest, "model");
	int priority = signed_number(rest, "priority", -1);
	struct fleet_demand d;
	bool found;

	fwd_demand_fill(&demand, &table, script_number(rest, "at", 0));
	sum_table_scale(&table, (unsigned)script_number(rest, "daemons", 1));
	found = priority < 0 ?
	    fleet_demand_total(&table, "s", model, &d) :
	    fleet_demand_row(&table, "s", model, priority, &d);
	g_string_append_printf(out,
	    "%s asked %.1f returned %.1f admitted %.1f late %.1f refused %.1f "
	    "queued %.0f due %.0f\n",
	    found ? "found" : "none", d.asked, d.returned, d.admitted, d.late,
	    d.refused, d.queued, d.due);
}

/*
 * elsewhere [model=M] priority=N at=MS others=N: requests that go before one at
 * as many other daemons, each of which has queued the same
 */
static void
exec_elsewhere(const char *rest, GString *out)
{
	g_autofree char *model = script_word(rest, "model");
	struct fleet_sums sums = { .told = true };

	fwd_demand_fill(&demand, &sums.own[SUM_DEMAND],
	    script_number(rest, "at", 0));
	sums.total[SUM_DEMAND] = sums.own[SUM_DEMAND];
	sum_table_scale(&sums.total[SUM_DEMAND],
	    1 + (unsigned)script_number(rest, "others", 0));
	g_string_append_printf(out, "%.0f\n",
	    fleet_demand_queued_elsewhere(&sums, "s", model,
		(int)script_number(rest, "priority", 0)));
}

/* fill keys=N at=MS: one request of each of many models; rows that are told */
static void
exec_fill(const char *rest, GString *out)
{
	uint64_t at = script_number(rest, "at", 0);

	for (uint32_t i = 0; i < script_number(rest, "keys", 0); i++)
		fwd_demand_count(&demand, i, DEMAND_ASKED, at + i);
	fwd_demand_fill(&demand, &table, at + 1000);
	g_string_append_printf(out, "%u rows\n", table.n);
}

/* Number of draws in which a first attempt of a priority is refused. */
static unsigned
refused_of_100(int priority)
{
	unsigned n = 0;

	for (uint32_t i = 0; i < 100; i++)
		n += overload_refuses(overload_level_fraction(&level, priority),
		    i * (UINT32_MAX / 100));
	return (n);
}

/*
 * level at=MS to=MS asked0=N asked1=N asked2=N [returned=N] [late=N]
 * [queued=N] running=N [admitted=N] capacity=N [slots=N] [told=0]: a level is
 * updated every 100 ms by the same input; refused first attempts of 100 of
 * priorities 0 to 2
 */
static void
exec_level(const char *rest, GString *out)
{
	uint64_t at = script_number(rest, "at", 0);
	struct overload_input in = { .duration_ms = 1000 };

	in.asked[0] = (double)script_number(rest, "asked0", 0);
	in.asked[1] = (double)script_number(rest, "asked1", 0);
	in.asked[2] = (double)script_number(rest, "asked2", 0);
	in.returned = (double)script_number(rest, "returned", 0);
	in.late = (double)script_number(rest, "late", 0);
	in.queued = (double)script_number(rest, "queued", 0);
	in.running = (double)script_number(rest, "running", 0);
	in.admitted =
	    (double)script_number(rest, "admitted", (uint64_t)in.running);
	in.capacity = (double)script_number(rest, "capacity", 0);
	in.slots = (double)script_number(rest, "slots", 0);
	in.told = script_number(rest, "told", 1) != 0;
	for (; at <= script_number(rest, "to", 0); at += OVERLOAD_UPDATE_MS)
		overload_level_update(&level, &in, at);
	g_string_append_printf(out, "refused %u %u %u\n", refused_of_100(0),
	    refused_of_100(1), refused_of_100(2));
}

/*
 * capacity objective=MS [duration=MS] [slow=PERCENT] [limit=PER_S] [running=N]
 * [plain=1] [unusable=1]: capacity of two endpoints with 34 slots, one of which
 * has these properties
 */
static void
exec_capacity(const char *rest, GString *out)
{
	struct model_profile model = { .name = "m", .size = 2, .pace = 1 };
	struct engine_profile engine = { .slots = 34,
		.step_ms = 6,
		.per_seq_ms = 0.25,
		.prefill_per_ms = 46,
		.stride = 5,
		.usual_prompt = 1000 };
	struct fwd_criteria criteria = { .service = "s", .now_ms = 1000 };
	struct endpoint eps[2] = { 0 };
	struct overload_capacity c;
	struct fleet fleet;

	if (script_number(rest, "plain", 0) == 0) {
		criteria.engine = &engine;
		criteria.model = &model;
	}
	TAILQ_INIT(&fleet.endpoints);
	for (unsigned i = 0; i < 2; i++) {
		eps[i].report.service = "s";
		eps[i].report.model = "m";
		eps[i].report.state = GROUP_OPEN;
		eps[i].report.slots = 6;
		eps[i].slowness = 1;
		TAILQ_INSERT_TAIL(&fleet.endpoints, &eps[i], entry);
	}
	eps[0].slowness = (double)script_number(rest, "slow", 100) / 100;
	eps[0].peer_inflight = (unsigned)script_number(rest, "running", 0);
	eps[0].limit.named = script_number(rest, "limit", 0) > 0;
	eps[0].limit.per_s = (double)script_number(rest, "limit", 0);
	if (script_number(rest, "unusable", 0) != 0)
		eps[0].cooldown_until_ms = criteria.now_ms + 1;
	overload_capacity_measure(&fleet, &criteria,
	    (double)script_number(rest, "objective", 250),
	    (double)script_number(rest, "duration", 1000), &c);
	g_string_append_printf(out, "running %.0f in time %.0f of %.0f\n",
	    c.running, c.in_time, c.slots);
}

/*
 * schedule left=MS [objective=MS] asked=PER_S served=PER_S [higher=N] [same=N]
 * [due=N] [capacity=MS]: earliest and latest time that a client is told
 */
static void
exec_schedule(const char *rest, GString *out)
{
	struct retry_input in = { 0 };
	int64_t from;

	in.left_ms = (double)script_number(rest, "left", 0);
	in.objective_ms = (double)script_number(rest, "objective", 300);
	in.asked_per_s = (double)script_number(rest, "asked", 0);
	in.served_per_s = (double)script_number(rest, "served", 0);
	in.due_higher = (double)script_number(rest, "higher", 0);
	in.due_same = (double)script_number(rest, "same", 0);
	in.due = (double)script_number(rest, "due",
	    (uint64_t)(in.due_higher + in.due_same));
	in.capacity_ms = (double)script_number(rest, "capacity", 0);
	from = retry_schedule_ms(&in);
	in.draw = UINT32_MAX;
	g_string_append_printf(out, "%lld to %lld\n", (long long)from,
	    (long long)retry_schedule_ms(&in));
}

/*
 * share [asked=N,...] [total=N] refused=PART: the most that a customer has, and
 * the fraction of the requests of each that is refused, and of one not known
 */
static void
exec_share(const char *rest, GString *out)
{
	g_autofree char *asked = script_word(rest, "asked");
	g_autofree char *part = script_word(rest, "refused");
	g_auto(GStrv) words = g_strsplit(asked != NULL ? asked : "", ",", -1);
	struct overload_share share = { 0 };
	double refused = g_ascii_strtod(part, NULL);
	uint32_t n = g_strv_length(words);

	for (uint32_t i = 0; i < n; i++)
		overload_share_add(&share, i + 1,
		    g_ascii_strtod(words[i], NULL));
	overload_share_finish(&share, (double)script_number(rest, "total", 0));
	g_string_append_printf(out, "limit %.0f refused",
	    overload_share_limit(&share, refused));
	for (uint32_t i = 0; i <= n; i++)
		g_string_append_printf(out, " %.3f",
		    overload_share_fraction(&share, i + 1, refused));
	g_string_append_c(out, '\n');
}

/* customer asked=N admitted=N: rates of a customer's requests in one moment */
static void
exec_customer(const char *rest, GString *out)
{
	uint32_t key = fwd_customer_key("s", "c");

	for (guint64 n = script_number(rest, "asked", 0); n > 0; n--)
		fwd_demand_count(&demand, key, DEMAND_ASKED, 0);
	for (guint64 n = script_number(rest, "admitted", 0); n > 0; n--)
		fwd_demand_count(&demand, key, DEMAND_ADMITTED, 0);
	fwd_demand_fill_customers(&demand, &table, 0);
	g_string_append_printf(out,
	    "asked %.1f admitted %.1f of another %.1f\n",
	    fleet_customer(&table, "s", "c", CUSTOMER_ASKED),
	    fleet_customer(&table, "s", "c", CUSTOMER_ADMITTED),
	    fleet_customer(&table, "s", "d", CUSTOMER_ASKED));
}

static const struct script_command commands[] = {
	{ "priority", exec_priority },
	{ "rank", exec_rank },
	{ "service", exec_service },
	{ "count", exec_count },
	{ "due", exec_due },
	{ "queue", exec_queue },
	{ "demand", exec_demand },
	{ "elsewhere", exec_elsewhere },
	{ "fill", exec_fill },
	{ "level", exec_level },
	{ "capacity", exec_capacity },
	{ "schedule", exec_schedule },
	{ "share", exec_share },
	{ "customer", exec_customer },
	{ NULL, NULL },
};

int
main(void)
{
	return (script_main("overload", commands, reset));
}
