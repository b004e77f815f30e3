/* Simulation, in virtual time and in one process, of many daemons that exchange
 * state. */
#include <string.h>

#include "fleet-model-daemon.h"
#include "random.h"

/**
 * fleet_model_random() - draw a random number from the model's own generator.
 * @model: the model
 * @below: exclusive upper bound
 *
 * The state belongs to the model, so that a seed determines the whole run.
 */
uint32_t
fleet_model_random(struct fleet_model *model, uint32_t below)
{
	return (random_sequence_below(&model->seed, below));
}

/**
 * fleet_model_clock() - clock of a daemon's host, in ms.
 * @daemon: the daemon
 */
uint64_t
fleet_model_clock(const struct model_daemon *daemon)
{
	int64_t now = (int64_t)daemon->model->now_ms;

	return ((uint64_t)(now + daemon->clock_ahead_ms));
}

/**
 * fleet_model_new() - create a model whose daemons start within 300 ms.
 * @n: number of daemons
 * @n_domains: number of failure domains
 * @n_endpoints: number of endpoints
 * @seed: seed of the random numbers
 */
struct fleet_model *
fleet_model_new(unsigned n, unsigned n_domains, unsigned n_endpoints,
    uint64_t seed)
{
	struct fleet_model *model = g_new0(struct fleet_model, 1);

	model->now_ms = MODEL_START_MS;
	model->counted_ms = MODEL_START_MS;
	model->n = n;
	model->n_domains = MIN(n_domains, MODEL_DOMAINS_MAX);
	model->n_endpoints = n_endpoints;
	model->seed = seed;
	model->in_flight = fleet_model_datagrams();
	model->daemons = g_new0(struct model_daemon, n);
	model->recorded = g_new0(bool, n);
	model->written_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (unsigned i = 0; i < n; i++) {
		model->daemons[i].model = model;
		model->daemons[i].index = i;
		model->daemons[i].domain = i % model->n_domains;
		model->daemons[i].start_ms = MODEL_START_MS + 1 +
		    fleet_model_random(model, MODEL_START_SPREAD_MS);
	}
	return (model);
}

/**
 * fleet_model_free() - free a model.
 * @model: the model
 */
void
fleet_model_free(struct fleet_model *model)
{
	for (unsigned i = 0; i < model->n; i++)
		model_daemon_stop(&model->daemons[i]);
	g_ptr_array_free(model->in_flight, TRUE);
	g_free(model->daemons);
	g_free(model->recorded);
	g_array_free(model->written_ms, TRUE);
	g_free(model);
}

/**
 * fleet_model_find() - find a daemon by its name.
 * @model: the model
 * @name: its name
 */
struct model_daemon *
fleet_model_find(const struct fleet_model *model, const char *name)
{
	guint64 index = g_ascii_strtoull(name + 1, NULL, 10);

	return (index < model->n ? &model->daemons[index] : NULL);
}

/**
 * fleet_model_start() - start a daemon.
 * @model: the model
 * @index: index of the daemon
 * @delay_ms: delay until it starts, in ms
 */
void
fleet_model_start(struct fleet_model *model, unsigned index, uint64_t delay_ms)
{
	model->daemons[index].start_ms = model->now_ms + delay_ms;
}

/**
 * fleet_model_stop() - stop a daemon without a message to the others.
 * @model: the model
 * @index: index of the daemon
 */
void
fleet_model_stop(struct fleet_model *model, unsigned index)
{
	model_daemon_stop(&model->daemons[index]);
	model->daemons[index].start_ms = UINT64_MAX;
}

/**
 * fleet_model_reboot() - stop a daemon with its host and start both again; the
 * host's clock starts anew.
 * @model: the model
 * @index: index of the daemon
 * @clock_ms: the host's clock when the daemon starts, in ms
 */
void
fleet_model_reboot(struct fleet_model *model, unsigned index, uint64_t clock_ms)
{
	fleet_model_stop(model, index);
	fleet_model_start(model, index, 1);
	model->daemons[index].clock_ahead_ms =
	    (int64_t)clock_ms - (int64_t)model->daemons[index].start_ms;
}

/**
 * fleet_model_set_load() - give each daemon requests at randomly drawn
 * endpoints.
 * @model: the model
 * @each: requests of each daemon
 */
void
fleet_model_set_load(struct fleet_model *model, unsigned each)
{
	for (unsigned i = 0; i < model->n; i++) {
		struct model_daemon *daemon = &model->daemons[i];
		struct endpoint *ep;

		if (!daemon->up)
			continue;
		TAILQ_FOREACH(ep, &daemon->registry.fleet.endpoints, entry)
			ep->inflight = 0;
		for (unsigned k = 0; k < each; k++) {
			g_autofree char *id = g_strdup_printf("e%u",
			    fleet_model_random(model, model->n_endpoints));

			fleet_find(&daemon->registry.fleet, id)->inflight++;
		}
	}
}

/**
 * fleet_model_feed() - have a daemon read changed entries and distribute them.
 * @model: the model
 * @index: index of the daemon
 * @n: number of changed entries
 */
void
fleet_model_feed(struct fleet_model *model, unsigned index, unsigned n)
{
	fleet_model_write(model, n);
	model_daemon_feed(&model->daemons[index]);
}

/**
 * fleet_model_run() - advance virtual time.
 * @model: the model
 * @ms: by how much, in ms
 */
void
fleet_model_run(struct fleet_model *model, uint64_t ms)
{
	while (ms-- > 0) {
		model->now_ms++;
		fleet_model_deliver(model);
		fleet_model_step_stream(model);
		for (unsigned i = 0; i < model->n; i++)
			model_daemon_step(&model->daemons[i]);
	}
}
