/*
 * Probes hosts of this failure domain for evidence. The hosts of a group are
 * probed by the same daemons, so that each of these knows by itself whether
 * the group is whole; rendezvous hashing shares the groups out.
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

/* Daemons that probe each group, free host or endpoint. */
#define PROBERS 2
#define PROBE_TIMEOUT_MS 800
/* A host that is not listed and silent for this long is not probed. */
#define FORGET_MS 60000

/*
 * The daemon that controls the failure domain, which has enough to do: it
 * probes only where others are too few. 0 while none controls it.
 */
static uint64_t
controller_key(struct server *server)
{
	struct lease *lease =
	    state_lease(server->config.state, server->set.domain);
	g_autofree char *name = NULL;

	if (lease == NULL)
		return (0);
	name = g_strndup(lease->holder, strcspn(lease->holder, "#"));
	return (member_name_hash(name));
}

/* What a host is shared out by: its group's epoch, or itself. */
static uint64_t
host_unit(struct server *server, const struct host *host)
{
	struct group *group;

	group = state_host_group(server->config.state, host->name);
	return (group != NULL ? group->epoch : host->name_hash);
}

/* A host that is not listed is probed on as long as it answers. */
static bool
host_forgotten(const struct host *host, uint64_t now)
{
	return (host->unlisted && now > host->evidence.as_of_ms + FORGET_MS &&
	    now > host->last_in_group_ms + FORGET_MS);
}

static void
batch_fill(struct server *server, struct http_batch *batch, uint64_t now)
{
	uint64_t controller;
	struct host *host;

	g_mutex_lock(&server->config.lock);
	g_mutex_lock(&server->inv.lock);
	controller = controller_key(server);
	TAILQ_FOREACH(host, &server->inv.hosts, entry) {
		g_autofree char *url = NULL;

		if (strcmp(host->domain, server->set.domain) != 0 ||
		    host_forgotten(host, now))
			continue;
		if (members_rank(&server->members, host_unit(server, host),
			controller, now) >= PROBERS)
			continue;
		url = g_strconcat(host->url,
		    host->kind == HOST_ENGINE ? "/host" : "/health", NULL);
		http_batch_add(batch, url, NULL, host);
	}
	g_mutex_unlock(&server->inv.lock);
	g_mutex_unlock(&server->config.lock);
}

/* Whether the answer is the host's own; its address may be another's now. */
static bool
answer_is_of(const struct host *host, json_t *answer)
{
	const char *name = json_string_value(json_object_get(answer, "name"));

	return (name == NULL || strcmp(name, host->name) == 0);
}

/* Takes one answer; returns whether the host began or ceased to leave. */
static bool
take_answer(struct host *host, const struct http_call *task)
{
	struct evidence *ev = &host->evidence;
	bool leaving = host_leaving(host);

	if (task->status != 200 && task->status != 503)
		return (false);
	if (task->json == NULL || task->sent_ms < ev->as_of_ms ||
	    !answer_is_of(host, task->json))
		return (false);
	evidence_parse(ev, task->json, task->sent_ms);
	if (ev->epoch != 0)
		host->last_in_group_ms = clock_now_ms();
	return (leaving != host_leaving(host));
}

/* Turns the evidence of hosts into what request threads read. */
static void
publish(struct server *server)
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

/* Straggling is judged against the median, which is found once a round. */
static void
refresh_medians(struct server *server)
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

static void
probe_round(struct server *server, struct http_batch *batch)
{
	struct http_call_list *tasks;
	struct http_call *task;
	bool moved = false;

	batch_fill(server, batch, clock_now_ms());
	tasks = http_batch_run(batch, PROBE_TIMEOUT_MS);
	g_mutex_lock(&server->inv.lock);
	TAILQ_FOREACH(task, tasks, entry)
		moved = take_answer(task->arg, task) || moved;
	g_mutex_unlock(&server->inv.lock);
	http_batch_reset(batch);
	if (moved)
		server_view_rebuild(server);
	publish(server);
	refresh_medians(server);
}

/**
 * prober_run() - the thread that probes.
 * @arg: the daemon
 */
void *
prober_run(void *arg)
{
	struct server *server = arg;
	struct http_batch *batch = http_batch_create();
	uint64_t began, spent;

	do {
		began = clock_now_ms();
		probe_round(server, batch);
		spent = clock_now_ms() - began;
	} while (server_sleep(server,
	    spent < (uint64_t)server->set.probe_ms ?
		(uint64_t)server->set.probe_ms - spent :
		1));
	http_batch_free(batch);
	return (NULL);
}
