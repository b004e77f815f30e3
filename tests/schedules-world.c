/* Hosts of the schedules, and what happens to orders and appends. */
#include "route.h"
#include "schedules.h"

struct schedules sim;
const struct lease_times schedules_times = { 2000, 6000, 10000 };

/* A random number below a limit. */
uint64_t
schedules_random(uint64_t below)
{
	sim.rng = route_mix(sim.rng);
	return (sim.rng % below);
}

/* Notes the first violation of an invariant. */
void
record_violation(const char *what)
{
	if (sim.violation == NULL)
		sim.violation = what;
}

struct delayed *
delayed_add(uint64_t in_ms)
{
	struct delayed *l;

	if (sim.n_delayed == DELAYED_MAX)
		return (NULL);
	l = &sim.delayed[sim.n_delayed++];
	*l = (struct delayed){ .at_ms = sim.now + in_ms, .host = -1 };
	return (l);
}

/*
 * Appends to a log; the answer may be lost, and the append may take effect
 * late. Returns the offset, or 0 without an answer.
 */
uint64_t
sim_append(struct sim_daemon *d, GPtrArray *log, json_t *record)
{
	uint64_t fate = schedules_random(20);
	struct delayed *l;

	if (d->log_cut)
		return (0);
	if (fate == 0 && (l = delayed_add(schedules_random(30000))) != NULL) {
		*(log == sim.config_log ? &l->config : &l->claim) =
		    json_incref(record);
		return (0);
	}
	g_ptr_array_add(log, json_incref(record));
	return (fate == 1 ? 0 : log->len);
}

/* Carries out an order at a host. */
void
host_order(int i, bool join, uint64_t epoch)
{
	struct real_host *h = &sim.hosts[i];

	if (!h->alive || (h->checks_fence && epoch < h->fence))
		return;
	if (epoch > h->fence)
		h->fence = epoch;
	if (join && h->epoch != epoch) {
		h->epoch = epoch;
		h->ready_ms = sim.now + 500;
	} else if (!join) {
		h->epoch = 0;
	}
}

/* Applies the delayed appends and orders that are due. */
void
delayed_deliver(void)
{
	for (int i = 0; i < sim.n_delayed;) {
		struct delayed l = sim.delayed[i];

		if (l.at_ms > sim.now) {
			i++;
			continue;
		}
		sim.delayed[i] = sim.delayed[--sim.n_delayed];
		if (l.config != NULL)
			g_ptr_array_add(sim.config_log, l.config);
		if (l.claim != NULL)
			g_ptr_array_add(sim.claim_log, l.claim);
		if (l.host >= 0)
			host_order(l.host, l.join, l.epoch);
	}
}

/* Records for each host that is ready now at which epoch it is. */
void
hosts_record_ready(void)
{
	for (int i = 0; i < HOSTS; i++) {
		struct real_host *h = &sim.hosts[i];

		if (h->alive && h->epoch != 0 && sim.now >= h->ready_ms) {
			h->ready_epoch = h->epoch;
			h->ready_seen_ms = sim.now;
		}
	}
}
