/* Scripted tests of copies of models that are being made: orders, answers,
 * loads. */
#include <string.h>

#include "placer.h"
#include "script.h"

static uv_loop_t loop;
static struct registry registry;
static struct placer placer;
static struct catalog *catalog;
static struct engine_profile *engine;
static uint64_t offset;
static GString *sent;

static GHashTable *pending;

/* An order that the script has not answered yet. */
struct fake_order {
	order_fn *done;
	void *arg;
};

/* Records an order that the placer sends; the script answers it. */
static bool
record_order(struct net_pool *pool, const char *id, const struct order *order,
    unsigned timeout_ms, order_fn *done, void *arg)
{
	const struct fake_order fake = { done, arg };

	g_string_append_printf(sent, "order %s %s\n", id, order->model);
	g_hash_table_replace(pending, g_strdup(id),
	    g_memdup2(&fake, sizeof fake));
	return (true);
}

/* Answers the last order to a host. */
static gboolean
answer_order(gpointer id, gpointer data, gpointer result)
{
	const struct fake_order *fake = data;

	fake->done(fake->arg, (enum order_result)GPOINTER_TO_INT(result));
	return (TRUE);
}

/* Ends the orders that were not answered as if their answers were lost. */
static void
pending_lose(void)
{
	g_hash_table_foreach_remove(pending, answer_order,
	    GINT_TO_POINTER(ORDER_UNKNOWN));
}

static const struct order_ops fake_orders = { .send = record_order };

/* Frees the planned replicas. */
static void
replicas_clear(void)
{
	struct replica *r;

	if (placer.replicas.tqh_last == NULL)
		TAILQ_INIT(&placer.replicas);
	while ((r = TAILQ_FIRST(&placer.replicas)) != NULL) {
		TAILQ_REMOVE(&placer.replicas, r, entry);
		replica_free(r);
	}
}

static void
reset(void)
{
	if (pending == NULL)
		pending = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
		    g_free);
	pending_lose();
	if (registry.fleet.by_id != NULL)
		fleet_clear(&registry.fleet);
	fleet_init(&registry.fleet, &loop);
	g_clear_pointer(&catalog, catalog_unref);
	catalog = catalog_create();
	engine = catalog_add_engine(catalog_add_service(catalog, "s"));
	engine->loads_per_s = 4;
	engine->loads_at_once = 2;
	if (sent == NULL)
		sent = g_string_new(NULL);
	g_string_truncate(sent, 0);
	if (placer.copies != NULL) {
		g_hash_table_destroy(placer.copies);
		g_array_free(placer.load_starts, TRUE);
	}
	replicas_clear();
	placer.loop = &loop;
	registry.catalog = catalog;
	placer.registry = &registry;
	placer.orders = &fake_orders;
	placer.served = true;
	placer.copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    placer_copy_free);
	placer.load_starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	offset = 0;
}

/* Prints the orders sent since the last call. */
static void
show_sent(GString *out)
{
	g_string_append(out, sent->str);
	g_string_truncate(sent, 0);
}

/* host ID [staged=M]: its entry was read */
static void
exec_host(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint_report report = { 0 };
	char *staged = script_word(rest, "staged");

	report.id = g_strdup(id);
	report.service = g_strdup("s");
	report.staged = g_ptr_array_new_with_free_func(g_free);
	if (staged != NULL)
		g_ptr_array_add(report.staged, staged);
	fleet_update(&registry.fleet, &report, ++offset, 0);
}

/* lapse ID at=MS: its entry was removed */
static void
exec_lapse(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_lapse(&registry.fleet, id, ++offset, script_number(rest, "at", 0),
	    false);
}

/* begin ID at=MS: the host is ordered to copy the model, which takes 1,000 ms
 */
static void
exec_begin(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct model_profile m = { .name = "m", .load_ms = 1000 };

	placer_copy_start(&placer, id, &m, script_number(rest, "at", 0));
	show_sent(out);
}

/* answer ID RESULT: the host's answer to the order */
static void
exec_answer(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);

	for (int r = ORDER_ACCEPTED; r <= ORDER_UNKNOWN; r++) {
		if (strcmp(order_result_name((enum order_result)r), w[1]) == 0)
			answer_order(w[0], g_hash_table_lookup(pending, w[0]),
			    GINT_TO_POINTER(r));
	}
	g_hash_table_remove(pending, w[0]);
}

/* update at=MS: prints the orders that are repeated and the number of loads
 * that may begin */
static void
exec_update(const char *rest, GString *out)
{
	uint64_t now = script_number(rest, "at", 0);

	placer_copies_update(&placer, now);
	show_sent(out);
	g_string_append_printf(out, "loads %u\n",
	    placer_loads_available(&placer, engine, now));
}

/* gone ID: prints whether the host's incarnation counts as ended */
static void
exec_gone(const char *rest, GString *out)
{
	g_string_append(out,
	    fleet_find(&registry.fleet, rest)->gone ? "yes\n" : "no\n");
}

/* Adds a replica of one host, whose order to join has not been sent. */
static void
replica_add_host(const char *id)
{
	struct replica *r = replica_create(id, "s", "m", 1);
	struct sockaddr_in any = { 0 };

	replica_add_member(r, id, &any);
	TAILQ_INSERT_TAIL(&placer.replicas, r, entry);
}

/* plan N: N hosts without a copy, which are planned into replicas */
static void
exec_plan(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);

	for (guint64 i = 0; i < n; i++) {
		g_autofree char *id = g_strdup_printf("p%u", (unsigned)i);

		exec_host(id, out);
		replica_add_host(id);
	}
}

/* served 0|1: whether requests have come */
static void
exec_served(const char *rest, GString *out)
{
	placer.served = atoi(rest) != 0;
}

/* joins at=MS: orders the planned hosts to join as far as loads may start;
 * prints how many orders are sent */
static void
exec_joins(const char *rest, GString *out)
{
	uint64_t now = script_number(rest, "at", 0);
	struct replica *r;
	unsigned n = 0;

	TAILQ_FOREACH(r, &placer.replicas, entry) {
		struct replica_member *m = &r->members[0];

		if (m->ordered_ms != 0 ||
		    !placer_join_allowed(&placer, r, m, now))
			continue;
		placer_join_note(&placer, r, m, now);
		m->ordered_ms = now;
		n++;
	}
	g_string_append_printf(out, "%u\n", n);
}

static const struct script_command commands[] = {
	{ "host", exec_host },
	{ "lapse", exec_lapse },
	{ "begin", exec_begin },
	{ "answer", exec_answer },
	{ "gone", exec_gone },
	{ "update", exec_update },
	{ "plan", exec_plan },
	{ "served", exec_served },
	{ "joins", exec_joins },
	{ NULL, NULL },
};

int
main(void)
{
	int rc;

	uv_loop_init(&loop);
	rc = script_main("placer-copies", commands, reset);
	pending_lose();
	g_hash_table_destroy(pending);
	replicas_clear();
	fleet_clear(&registry.fleet);
	catalog_unref(catalog);
	g_hash_table_destroy(placer.copies);
	g_array_free(placer.load_starts, TRUE);
	g_string_free(sent, TRUE);
	uv_loop_close(&loop);
	return (rc);
}
