/* GET /status and /metrics: this daemon's view of the others, and metrics. */
#include <inttypes.h>
#include <sys/resource.h>

#include "clock.h"
#include "control-traffic.h"
#include "controller.h"
#include "group.h"
#include "http-reply.h"
#include "operator.h"
#include "policy-series.h"
#include "usage.h"

/* The log counts as reachable this long after the last successful read. */
#define LOG_OK_AGE_MS 5000

/* Lists the other daemons. */
static json_t *
status_members(struct server *server, uint64_t now)
{
	struct members *ms = &server->members;
	json_t *out = json_array();
	struct member *m;

	g_mutex_lock(&ms->lock);
	TAILQ_FOREACH(m, &ms->others, entry)
		json_array_append_new(out,
		    json_pack("{s:s, s:s, s:b, s:b, s:I, s:I}", "name", m->name,
			"domain", m->domain, "live", member_alive(ms, m, now),
			"leaving", m->draining, "applied",
			(json_int_t)m->next_offset, "age_ms",
			(json_int_t)(now - MIN(now, m->as_of_ms))));
	g_mutex_unlock(&ms->lock);
	return (out);
}

/*
 * Lists targets: whether requests may be sent to each, and the age of its
 * newest evidence, -1 without any.
 */
static json_t *
status_targets(struct server *server, uint64_t now)
{
	json_t *out = json_array();
	GHashTableIter iter;
	gpointer value;

	g_mutex_lock(&server->view_lock);
	g_hash_table_iter_init(&iter, server->tables.targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct target *t = value;
		uint64_t evidence_ms = atomic_load(&t->evidence_as_of_ms);

		json_array_append_new(out,
		    json_pack("{s:s, s:s, s:I, s:b, s:I, s:I, s:I}", "name",
			t->name, "domain", t->domain, "epoch",
			(json_int_t)t->epoch, "serving", target_valid(t, now),
			"age_ms",
			evidence_ms != 0 ?
			    (json_int_t)(now - MIN(now, evidence_ms)) :
			    (json_int_t)-1,
			"inflight", (json_int_t)atomic_load(&t->inflight),
			"reported",
			(json_int_t)atomic_load(&t->reported_load)));
	}
	g_mutex_unlock(&server->view_lock);
	return (out);
}

/**
 * operator_status() - handler of GET /status.
 * @in: the request
 * @res: the response
 * @arg: this daemon, struct server
 */
int
operator_status(const struct _u_request *in, struct _u_response *res, void *arg)
{
	struct server *server = arg;
	uint64_t now = clock_now_ms(), digest, next;
	g_autofree char *hex = NULL;

	if (!operator_authorize(server, in, res))
		return (U_CALLBACK_COMPLETE);
	g_mutex_lock(&server->config.lock);
	next = server->config.state->next;
	digest = state_digest(server->config.state);
	g_mutex_unlock(&server->config.lock);
	hex = g_strdup_printf("%016" PRIx64, digest);
	http_reply_json(res, 200,
	    json_pack(
		"{s:s, s:s, s:I, s:I, s:s, s:b, s:b, s:b, s:b, s:I, s:o, s:o}",
		"name", server->set.name, "domain", server->set.domain,
		"applied", (json_int_t)next - 1, "in_force",
		(json_int_t)server_view_next(server) - 1, "digest", hex,
		"ready", server_health(server) == SERVER_READY, "leaving",
		atomic_load(&server->draining), "log_ok",
		config_log_ok(&server->config, LOG_OK_AGE_MS), "controller",
		controller_holds_lease(server), "active",
		(json_int_t)atomic_load(&server->active), "members",
		status_members(server, now), "targets",
		status_targets(server, now)));
	return (U_CALLBACK_COMPLETE);
}

/* Prints CPU time, peak memory and requests in progress of this process. */
static void
print_process_metrics(struct server *server, GString *out)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	g_string_append_printf(out,
	    "banklift_cpu_us %" PRId64 "\n"
	    "banklift_max_resident_kb %ld\nbanklift_active_requests %u\n",
	    (int64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000000 +
		usage.ru_utime.tv_usec + usage.ru_stime.tv_usec,
	    usage.ru_maxrss, atomic_load(&server->active));
}

/**
 * operator_metrics() - handler of GET /metrics.
 * @in: the request
 * @res: the response
 * @arg: this daemon, struct server
 */
int
operator_metrics(const struct _u_request *in, struct _u_response *res,
    void *arg)
{
	g_autoptr(GString) out = g_string_new(NULL);
	struct server *server = arg;
	GHashTableIter iter;
	gpointer value;

	if (!operator_authorize(server, in, res))
		return (U_CALLBACK_COMPLETE);
	print_process_metrics(server, out);
	control_traffic_print(out);
	g_mutex_lock(&server->config.lock);
	usage_print(server->usage, out);
	g_mutex_unlock(&server->config.lock);
	policy_series_print(out);
	g_mutex_lock(&server->view_lock);
	g_hash_table_iter_init(&iter, server->tables.customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct customer *customer = value;

		series_print(&customer->series, "customer", customer->name,
		    out);
	}
	g_mutex_unlock(&server->view_lock);
	ulfius_set_string_body_response(res, 200, out->str);
	u_map_put(res->map_header, "Content-Type", "text/plain");
	return (U_CALLBACK_COMPLETE);
}
