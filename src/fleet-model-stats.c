/* What the daemons of a fleet model know, compared with the actual state. */
#include <string.h>

#include "fleet-model.h"

/**
 * fleet_model_reset_counts() - reset the counters.
 * @model: the model
 */
void
fleet_model_reset_counts(struct fleet_model *model)
{
	model->counted_ms = model->now_ms;
	for (unsigned i = 0; i < model->n; i++) {
		struct model_daemon *daemon = &model->daemons[i];

		daemon->sent = daemon->sent_bytes = 0;
		daemon->received = daemon->received_bytes = 0;
		daemon->relay_changes = 0;
		daemon->entry_reads = 0;
		daemon->store_queries = 0;
		daemon->store_calls = 0;
	}
}

/* Sums the requests of all running daemons per endpoint. */
static GArray *
model_actual(const struct fleet_model *model)
{
	GArray *actual = g_array_new(FALSE, TRUE, sizeof(unsigned));

	g_array_set_size(actual, model->n_endpoints);
	for (unsigned i = 0; i < model->n; i++) {
		const struct endpoint *ep;
		unsigned index = 0;

		if (!model->daemons[i].up)
			continue;
		TAILQ_FOREACH(ep, &model->daemons[i].registry.fleet.endpoints,
		    entry)
			g_array_index(actual, unsigned, index++) +=
			    ep->inflight;
	}
	return (actual);
}

/* Compares one daemon's sums of requests with the actual ones. */
static void
stats_add_load_error(const struct model_daemon *daemon, const GArray *actual,
    struct model_stats *stats)
{
	const struct endpoint *ep;
	unsigned index = 0;

	TAILQ_FOREACH(ep, &daemon->registry.fleet.endpoints, entry) {
		unsigned real = g_array_index(actual, unsigned, index++);
		unsigned seen = ep->inflight + ep->peer_inflight;
		unsigned difference = real > seen ? real - seen : seen - real;

		stats->load_error_mean += difference;
		stats->load_error_max = MAX(stats->load_error_max, difference);
	}
}

static void
stats_add_counts(const struct model_daemon *daemon, double seconds,
    struct model_stats *stats)
{
	stats->relay_changes += daemon->relay_changes;
	stats->entry_reads += daemon->entry_reads;
	stats->store_queries += daemon->store_queries;
	stats->store_calls += daemon->store_calls;
	stats->sent_s += (double)daemon->sent / seconds;
	stats->received_s += (double)daemon->received / seconds;
	stats->received_bytes_s += (double)daemon->received_bytes / seconds;
	stats->sent_max_s =
	    MAX(stats->sent_max_s, (double)daemon->sent / seconds);
	stats->sent_bytes_max_s =
	    MAX(stats->sent_bytes_max_s, (double)daemon->sent_bytes / seconds);
}

static void
stats_add_daemon(const struct model_daemon *daemon, struct model_stats *stats)
{
	const struct mesh *mesh = &daemon->mesh;
	unsigned n_alive = 1 + mesh_count_alive(mesh);
	uint64_t now = fleet_model_clock(daemon);
	uint64_t age = registry_config_age(&daemon->registry, now);

	stats->up++;
	stats->connected_max_ms = MAX(stats->connected_max_ms,
	    daemon->connected_ms != 0 ? daemon->connected_ms : UINT64_MAX);
	stats->relays += mesh->relay == NULL;
	stats->alive_min = MIN(stats->alive_min, n_alive);
	stats->alive_max = MAX(stats->alive_max, n_alive);
	stats->readers += mesh_is_reader(mesh);
	stats->first_ranked += mesh_rank(mesh) == 0;
	stats->placer_known += mesh_placer_heard(mesh) || mesh->self.placer;
	stats->config_age_max_ms = MAX(stats->config_age_max_ms, age);
	stats->feed_age_max_ms = MAX(stats->feed_age_max_ms,
	    topic_follower_copy_age(&daemon->registry.endpoints, now));
}

/**
 * fleet_model_measure() - compare the daemons' views with the actual state.
 * @model: the model
 * @stats: filled in
 */
void
fleet_model_measure(const struct fleet_model *model, struct model_stats *stats)
{
	double seconds =
	    (double)MAX(model->now_ms - model->counted_ms, 1) / 1000;
	GArray *actual = model_actual(model);

	memset(stats, 0, sizeof *stats);
	stats->alive_min = UINT32_MAX;
	for (unsigned i = 0; i < model->n; i++) {
		stats->recorded += model->recorded[i];
		if (!model->daemons[i].up)
			continue;
		stats_add_daemon(&model->daemons[i], stats);
		stats_add_load_error(&model->daemons[i], actual, stats);
		stats_add_counts(&model->daemons[i], seconds, stats);
	}
	g_array_free(actual, TRUE);
	if (stats->up == 0)
		return;
	stats->load_error_mean /=
	    (double)stats->up * MAX(model->n_endpoints, 1);
	stats->sent_s /= stats->up;
	stats->received_s /= stats->up;
	stats->received_bytes_s /= stats->up;
}
