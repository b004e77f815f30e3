/*
 * Probes the hosts of this failure domain for evidence. All hosts of a group
 * are probed by the same daemons, so that each of these daemons knows by
 * itself whether the group is complete. Rendezvous hashing assigns groups and
 * free hosts to daemons.
 */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "group.h"
#include "http-batch.h"
#include "lease.h"
#include "prober.h"
#include "publish.h"
#include "server.h"

/* Number of daemons that probe each group, and each host in no group. */
#define PROBERS_PER_KEY 2
#define PROBE_TIMEOUT_MS 800
/* An unlisted host that is silent and in no group for this long is no longer
 * probed. */
#define UNLISTED_PROBE_MS 60000

/*
 * Returns the name hash of the daemon that controls the failure domain, or 0
 * while none does. The controller has other work, so it probes only where too
 * few other daemons are alive.
 */
static uint64_t
controller_name_hash(struct server *server)
{
	struct lease *lease =
	    state_lease(server->config.state, server->set.domain);
	g_autofree char *name = NULL;

	if (lease == NULL)
		return (0);
	name = g_strndup(lease->holder, strcspn(lease->holder, "#"));
	return (member_name_hash(name));
}

/* Key that assigns a host to daemons: its group's epoch, or its own hash. */
static uint64_t
host_probe_key(struct server *server, const struct host *host)
{
	struct group *group;

	group = state_host_group(server->config.state, host->name);
	return (group != NULL ? group->epoch : host->name_hash);
}

/* Whether an unlisted host is no longer probed, as UNLISTED_PROBE_MS says. */
static bool
host_probe_stopped(const struct host *host, uint64_t now)
{
	return (host->unlisted &&
	    now > host->evidence.as_of_ms + UNLISTED_PROBE_MS &&
	    now > host->last_in_group_ms + UNLISTED_PROBE_MS);
}

/* Adds a probe of each host that this daemon has to probe. */
static void
batch_add_probes(struct server *server, struct http_batch *batch, uint64_t now)
{
	uint64_t controller;
	struct host *host;

	g_mutex_lock(&server->config.lock);
	g_mutex_lock(&server->inv.lock);
	controller = controller_name_hash(server);
	TAILQ_FOREACH(host, &server->inv.hosts, entry) {
		g_autofree char *url = NULL;

		if (strcmp(host->domain, server->set.domain) != 0 ||
		    host_probe_stopped(host, now))
			continue;
		if (members_rank(&server->members, host_probe_key(server, host),
			controller, now) >= PROBERS_PER_KEY)
			continue;
		url = g_strconcat(host->url,
		    host->kind == HOST_ENGINE ? "/host" : "/health", NULL);
		http_batch_add(batch, url, NULL, host);
	}
	g_mutex_unlock(&server->inv.lock);
	g_mutex_unlock(&server->config.lock);
}

/* Whether the host itself responded; its address may be another's by now. */
static bool
response_is_from(const struct host *host, json_t *response)
{
	const char *name = json_string_value(json_object_get(response, "name"));

	return (name == NULL || strcmp(name, host->name) == 0);
}

/* Applies a response; returns whether the host started or stopped leaving. */
static bool
apply_response(struct host *host, const struct http_call *call)
{
	struct evidence *ev = &host->evidence;
	bool leaving = host_leaving(host);

	if (call->status != 200 && call->status != 503)
		return (false);
	if (call->json == NULL || call->sent_ms < ev->as_of_ms ||
	    !response_is_from(host, call->json))
		return (false);
	evidence_parse(ev, call->json, call->sent_ms);
	if (ev->epoch != 0)
		host->last_in_group_ms = clock_now_ms();
	return (leaving != host_leaving(host));
}

/* Publishes the evidence about hosts for the request threads. */
static void
publish_host_evidence(struct server *server)
{
	g_mutex_lock(&server->view_lock);
	g_mutex_lock(&server->config.lock);
	g_mutex_lock(&server->inv.lock);
	publish_evidence(server->config.state, &server->inv, &server->tables,
	    (uint64_t)server->set.evidence_ms);
	g_mutex_unlock(&server->inv.lock);
	g_mutex_unlock(&server->config.lock);
	g_mutex_unlock(&server->view_lock);
}

/* Updates the median latencies that stragglers are judged against, once per
 * round. */
static void
update_medians(struct server *server)
{
	GHashTableIter iter;
	gpointer set;

	g_mutex_lock(&server->view_lock);
	if (server->view != NULL) {
		g_hash_table_iter_init(&iter, server->view->deployments);
		while (g_hash_table_iter_next(&iter, NULL, &set))
			route_set_update_median(set);
		g_hash_table_iter_init(&iter, server->view->services);
		while (g_hash_table_iter_next(&iter, NULL, &set))
			route_set_update_median(set);
	}
	g_mutex_unlock(&server->view_lock);
}

/* Probes all assigned hosts once and publishes the evidence. */
static void
probe_round(struct server *server, struct http_batch *batch)
{
	struct http_call_list *calls;
	struct http_call *call;
	bool changed = false;

	batch_add_probes(server, batch, clock_now_ms());
	calls = http_batch_run(batch, PROBE_TIMEOUT_MS);
	g_mutex_lock(&server->inv.lock);
	TAILQ_FOREACH(call, calls, entry)
		changed = apply_response(call->arg, call) || changed;
	g_mutex_unlock(&server->inv.lock);
	http_batch_reset(batch);
	if (changed)
		server_view_rebuild(server);
	publish_host_evidence(server);
	update_medians(server);
}

/**
 * prober_run() - thread that probes hosts.
 * @arg: the daemon
 */
void *
prober_run(void *arg)
{
	struct server *server = arg;
	struct http_batch *batch = http_batch_create();
	uint64_t started, elapsed;

	do {
		started = clock_now_ms();
		probe_round(server, batch);
		elapsed = clock_now_ms() - started;
	} while (server_sleep(server,
	    elapsed < (uint64_t)server->set.probe_ms ?
		(uint64_t)server->set.probe_ms - elapsed :
		1));
	http_batch_free(batch);
	return (NULL);
}
