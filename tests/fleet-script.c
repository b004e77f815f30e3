/* Commands of scripts on simulated fleets of daemons that exchange state. */
#include <math.h>
#include <string.h>
#include <syslog.h>

#include "event-log.h"
#include "limit-model.h"
#include "fleet-script.h"

struct fleet_model *fleet_script_model;
static struct limit_model *limit;

/* Frees all models. */
void
fleet_script_reset(void)
{
	g_clear_pointer(&limit, limit_model_free);
	fleet_script_poison_reset();
	g_clear_pointer(&fleet_script_model, fleet_model_free);
}

/* fleet N domains=N endpoints=N [seed=N] [loss=N]: creates N daemons; loss is
 * the number of lost datagrams, in thousandths */
static void
exec_fleet(const char *rest, GString *out)
{
	fleet_script_reset();
	fleet_script_model =
	    fleet_model_new((unsigned)g_ascii_strtoull(rest, NULL, 10),
		(unsigned)script_number(rest, "domains", 1),
		(unsigned)script_number(rest, "endpoints", 1),
		script_number(rest, "seed", 1));
	fleet_script_model->loss = (unsigned)script_number(rest, "loss", 0);
}

/* run MS: advances virtual time */
static void
exec_run(const char *rest, GString *out)
{
	guint64 ms = g_ascii_strtoull(rest, NULL, 10);

	if (limit != NULL)
		limit_model_run(limit, ms);
	else if (!fleet_script_poison_run(ms))
		fleet_model_run(fleet_script_model, ms);
}

/*
 * demand N [busy=N]: from now on, one in every "busy" daemons sends N
 * thousandths of a request per second to an endpoint
 */
static void
exec_demand(const char *rest, GString *out)
{
	g_clear_pointer(&limit, limit_model_free);
	limit = limit_model_new(fleet_script_model, &limit_scheme_users,
	    g_ascii_strtod(rest, NULL) / 1000,
	    (unsigned)script_number(rest, "busy", 1));
}

/* limit N|none: the endpoint names N thousandths of a request per second, or no
 * limit */
static void
exec_limit(const char *rest, GString *out)
{
	limit_model_set_limit(limit,
	    strcmp(rest, "none") == 0 ? -1 : g_ascii_strtod(rest, NULL) / 1000);
}

/*
 * limited: daemons that know of the limit, the sum of their shares, requests
 * over the limit, and the used fraction of it since requests count, in tenths
 */
static void
exec_limited(const char *rest, GString *out)
{
	double used = limit_model_used(limit);

	g_string_append_printf(out, "known to %u", limit_model_informed(limit));
	if (limit->per_s >= 0)
		g_string_append_printf(out, " share %.2f over %u used %.1f",
		    limit_model_share(limit), limit->n_over,
		    MAX(floor(used * 10) / 10, 0));
	g_string_append_c(out, '\n');
}

/* count: resets the counters */
static void
exec_count(const char *rest, GString *out)
{
	fleet_model_reset_counts(fleet_script_model);
}

/* load N: each daemon has N requests at randomly drawn endpoints */
static void
exec_load(const char *rest, GString *out)
{
	fleet_model_set_load(fleet_script_model,
	    (unsigned)g_ascii_strtoull(rest, NULL, 10));
}

/* loss N: lost datagrams from now on, in thousandths */
static void
exec_loss(const char *rest, GString *out)
{
	fleet_script_model->loss = (unsigned)g_ascii_strtoull(rest, NULL, 10);
}

/* kill NAME... and start NAME...: daemons stop, or start again */
static void
exec_kill(const char *rest, GString *out)
{
	g_auto(GStrv) names = g_strsplit(rest, " ", -1);

	for (char **name = names; *name != NULL; name++)
		fleet_model_stop(fleet_script_model,
		    fleet_model_find(fleet_script_model, *name)->index);
}

static void
exec_start(const char *rest, GString *out)
{
	g_auto(GStrv) names = g_strsplit(rest, " ", -1);

	for (char **name = names; *name != NULL; name++)
		fleet_model_start(fleet_script_model,
		    fleet_model_find(fleet_script_model, *name)->index, 1);
}

/* domain N up=0|1: all daemons of a failure domain stop or start again */
static void
exec_domain(const char *rest, GString *out)
{
	unsigned domain = (unsigned)g_ascii_strtoull(rest, NULL, 10);

	for (unsigned i = domain; i < fleet_script_model->n;
	     i += fleet_script_model->n_domains) {
		if (script_number(rest, "up", 0) != 0)
			fleet_model_start(fleet_script_model, i, 1 + i % 100);
		else
			fleet_model_stop(fleet_script_model, i);
	}
}

/* cut FROM TO [on=0|1]: cuts or restores the link from one failure domain to
 * another */
static void
exec_cut(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", 3);

	fleet_script_model->cut[g_ascii_strtoull(words[0], NULL, 10)]
			       [g_ascii_strtoull(words[1], NULL, 10)] =
	    script_number(rest, "on", 1) != 0;
}

/* placer NAME [on=0|1] [store=0|1]: a daemon takes or loses the placer's lease
 */
static void
exec_placer(const char *rest, GString *out)
{
	g_autofree char *name = g_strndup(rest, strcspn(rest, " "));
	struct mesh *mesh = &fleet_model_find(fleet_script_model, name)->mesh;

	mesh->self.placer = script_number(rest, "on", 1) != 0;
	mesh->self.store_ok = script_number(rest, "store", 1) != 0;
	mesh->self.term += mesh->self.placer;
	mesh->held_term = mesh->self.term;
}

/* store NAME on=0|1: whether the store answers a daemon */
static void
exec_store(const char *rest, GString *out)
{
	g_autofree char *name = g_strndup(rest, strcspn(rest, " "));

	fleet_model_find(fleet_script_model, name)->mesh.self.store_ok =
	    script_number(rest, "on", 1) != 0;
}

/* warn NAME endpoint=ID: a daemon finds an endpoint silent and warns the others
 */
static void
exec_warn(const char *rest, GString *out)
{
	g_autofree char *name = g_strndup(rest, strcspn(rest, " "));
	g_autofree char *id = script_word(rest, "endpoint");
	struct model_daemon *daemon =
	    fleet_model_find(fleet_script_model, name);

	fleet_find(&daemon->registry.fleet, id)->warned_ms =
	    fleet_script_model->now_ms;
	mesh_send(&daemon->mesh);
}

/* warned ID: number of daemons that were warned of an endpoint, and time since
 * the newest warning */
static void
exec_warned(const char *rest, GString *out)
{
	unsigned n = 0;
	uint64_t newest = 0;

	for (unsigned i = 0; i < fleet_script_model->n; i++) {
		const struct endpoint *ep;

		if (!fleet_script_model->daemons[i].up)
			continue;
		ep = fleet_find(&fleet_script_model->daemons[i].registry.fleet,
		    rest);
		n += ep->avoided_ms != 0;
		newest = MAX(newest, ep->avoided_ms);
	}
	g_string_append_printf(out, "%u of %u, %" G_GUINT64_FORMAT " ms ago\n",
	    n, fleet_script_model->n, fleet_script_model->now_ms - newest);
}

/* evacuate NAME domain=D as_of=N [on=0|1]: a daemon reads from the store that a
 * failure domain is evacuated or taken back */
static void
exec_evacuate(const char *rest, GString *out)
{
	g_autofree char *name = g_strndup(rest, strcspn(rest, " "));
	g_autofree char *domain = script_word(rest, "domain");
	struct model_daemon *daemon =
	    fleet_model_find(fleet_script_model, name);
	struct evacuations next;

	evacuations_copy(&next, &daemon->registry.evacuations);
	next.as_of = script_number(rest, "as_of", 0);
	if (script_number(rest, "on", 1) != 0)
		evacuations_add(&next, domain);
	else
		evacuations_remove(&next, domain);
	registry_apply_evacuations(&daemon->registry, &next);
	mesh_send(&daemon->mesh);
}

/* evacuated DOMAIN: number of daemons that send nothing to its endpoints */
static void
exec_evacuated(const char *rest, GString *out)
{
	unsigned n = 0;

	for (unsigned i = 0; i < fleet_script_model->n; i++) {
		const struct model_daemon *daemon =
		    &fleet_script_model->daemons[i];
		const struct endpoint *ep;
		bool sends = false;

		TAILQ_FOREACH(ep, &daemon->registry.fleet.endpoints, entry)
			sends = sends ||
			    (strcmp(ep->report.domain, rest) == 0 &&
				endpoint_usable(ep,
				    fleet_script_model->now_ms));
		n += daemon->up && !sends;
	}
	g_string_append_printf(out, "%u of %u\n", n, fleet_script_model->n);
}

/* retry NAME after=MS: pause after a failed read of the store */
static void
exec_retry(const char *rest, GString *out)
{
	g_autofree char *name = g_strndup(rest, strcspn(rest, " "));

	g_string_append_printf(out, "%u ms\n",
	    mesh_retry_ms(&fleet_model_find(fleet_script_model, name)->mesh,
		(unsigned)script_number(rest, "after", 0)));
}

/* demand-at NAME|all N: what a daemon, or each of them, counts from now on */
static void
exec_demand_at(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", 2);

	for (unsigned i = 0; i < fleet_script_model->n; i++) {
		struct model_daemon *daemon = &fleet_script_model->daemons[i];

		if (strcmp(words[0], "all") == 0 ||
		    (daemon->up && strcmp(daemon->mesh.name, words[0]) == 0))
			daemon->demand =
			    (uint32_t)g_ascii_strtoull(words[1], NULL, 10);
	}
}

/* sums: lowest and highest sum of these counts that a running daemon has, and
 * how many daemons were told by others */
static void
exec_sums(const char *rest, GString *out)
{
	uint32_t lowest = UINT32_MAX, highest = 0;
	unsigned told = 0;

	for (unsigned i = 0; i < fleet_script_model->n; i++) {
		const struct fleet_sums *sums =
		    &fleet_script_model->daemons[i].registry.sums;
		const struct sum_row *row =
		    sum_table_get(&sums->total[SUM_DEMAND], MODEL_DEMAND_KEY);
		uint32_t value = row != NULL ? row->values[0] : 0;

		if (!fleet_script_model->daemons[i].up)
			continue;
		lowest = MIN(lowest, value);
		highest = MAX(highest, value);
		told += sums->told;
	}
	g_string_append_printf(out, "%u to %u, told %u\n", lowest, highest,
	    told);
}

/* relays: the daemons that are relays */
static void
exec_relays(const char *rest, GString *out)
{
	for (unsigned i = 0; i < fleet_script_model->n; i++) {
		if (fleet_script_model->daemons[i].up &&
		    fleet_script_model->daemons[i].mesh.relay == NULL)
			g_string_append_printf(out, "%s ",
			    fleet_script_model->daemons[i].mesh.name);
	}
	g_string_truncate(out, out->len - 1);
	g_string_append_c(out, '\n');
}

/* views: how far the daemons' views differ from the actual state */
void
fleet_script_views(const char *rest, GString *out)
{
	struct model_stats s;

	fleet_model_measure(fleet_script_model, &s);
	g_string_append_printf(out,
	    "up %u relays %u alive %u to %u readers %u first %u placer known "
	    "to %u\n",
	    s.up, s.relays, s.alive_min, s.alive_max, s.readers, s.first_ranked,
	    s.placer_known);
}

/* traffic: errors of the load sums, relay changes, and datagrams per second */
static void
exec_traffic(const char *rest, GString *out)
{
	struct model_stats s;

	fleet_model_measure(fleet_script_model, &s);
	g_string_append_printf(out,
	    "load error %.2f max %u relay changes %u entry reads %u "
	    "received %.0f a second %.1f KB sent %.0f max %.0f\n",
	    s.load_error_mean, s.load_error_max, s.relay_changes, s.entry_reads,
	    s.received_s, s.received_bytes_s / 1000, s.sent_s, s.sent_max_s);
}

/*
 * calls: calls for addresses a start, in steps of 0.5; addresses in the store,
 * in steps of 10; and the longest time until a daemon heard its relay, in steps
 * of 500 ms
 */
static void
exec_calls(const char *rest, GString *out)
{
	struct model_stats s;

	fleet_model_measure(fleet_script_model, &s);
	g_string_append_printf(out,
	    "%.1f or fewer, %u addresses or fewer, connected within %" G_GUINT64_FORMAT
	    " ms\n",
	    ceil(2.0 * s.store_calls / s.up) / 2, (s.recorded / 10 + 1) * 10,
	    (s.connected_max_ms / 500 + 1) * 500);
}

/* restart: all daemons stop and start again within 300 ms */
static void
exec_restart(const char *rest, GString *out)
{
	for (unsigned i = 0; i < fleet_script_model->n; i++) {
		fleet_model_stop(fleet_script_model, i);
		fleet_model_start(fleet_script_model, i,
		    1 + fleet_model_random(fleet_script_model, 300));
	}
}

/* reboot NAME clock=MS: a daemon's host loses power and starts again, with its
 * clock at this value */
static void
exec_reboot(const char *rest, GString *out)
{
	g_autofree char *name = g_strndup(rest, strcspn(rest, " "));

	fleet_model_reboot(fleet_script_model,
	    fleet_model_find(fleet_script_model, name)->index,
	    script_number(rest, "clock", 0));
}

/* store-queries: store queries because no peer's state was recent enough */
static void
exec_store_queries(const char *rest, GString *out)
{
	struct model_stats s;

	fleet_model_measure(fleet_script_model, &s);
	g_string_append_printf(out, "%u\n", s.store_queries);
}

static const struct script_command fleet_script_commands[] = {
	{ "fleet", exec_fleet },
	{ "run", exec_run },
	{ "poison", fleet_script_poison },
	{ "poisoned", fleet_script_poisoned },
	{ "refusing", fleet_script_refusing },
	{ "parts", fleet_script_parts },
	{ "parts-result", fleet_script_parts_result },
	{ "count", exec_count },
	{ "demand", exec_demand },
	{ "limit", exec_limit },
	{ "limited", exec_limited },
	{ "load", exec_load },
	{ "loss", exec_loss },
	{ "kill", exec_kill },
	{ "start", exec_start },
	{ "domain", exec_domain },
	{ "cut", exec_cut },
	{ "placer", exec_placer },
	{ "store", exec_store },
	{ "warn", exec_warn },
	{ "warned", exec_warned },
	{ "left-behind", fleet_script_left_behind },
	{ "leave-many", fleet_script_leave_many },
	{ "evacuate", exec_evacuate },
	{ "evacuated", exec_evacuated },
	{ "feed", fleet_script_feed },
	{ "retry", exec_retry },
	{ "demand-at", exec_demand_at },
	{ "sums", exec_sums },
	{ "relays", exec_relays },
	{ "views", fleet_script_views },
	{ "traffic", exec_traffic },
	{ "proof", fleet_script_proof },
	{ "calls", exec_calls },
	{ "restart", exec_restart },
	{ "reboot", exec_reboot },
	{ "store-queries", exec_store_queries },
	{ "set-config", fleet_script_set_config },
	{ "fetched", fleet_script_fetched },
	{ "age", fleet_script_age },
	{ "entries", fleet_script_entries },
	{ "stream", fleet_script_stream },
	{ "remove", fleet_script_remove },
	{ "removed", fleet_script_removed },
	{ "entry-delays", fleet_script_entry_delays },
	{ "members-store", fleet_script_members_store },
	{ "storm", fleet_script_storm },
	{ NULL, NULL },
};

/* Runs all scripts of a suite; returns the exit status of the program. */
int
fleet_script_main(const char *suite)
{
	g_autofree char *program = g_strconcat("test-", suite, NULL);
	int rc;

	event_log_open(program, LOG_ERR);
	rc = script_main(suite, fleet_script_commands, fleet_script_reset);
	fleet_script_reset();
	return (rc);
}
