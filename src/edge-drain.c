/* Graceful shutdown of the daemon. */
#include "clock.h"
#include "edge.h"
#include "event-log.h"

/* How long new connections are accepted while draining. A load balancer that
 * checks readiness every second and removes a daemon after two failures sends
 * no more clients by then. */
#define DRAIN_ACCEPT_MS 3000
#define DRAIN_POLL_MS 50
/* Part of the grace time that is left for closing connections and exiting. */
#define DRAIN_MARGIN_MS 700

/* Stops the event loop; what still runs ends with the process. */
static void
edge_stop(struct edge *e, const char *reason)
{
	event_log(LOG_NOTICE, "stopped", "reason=%s exchanges=%u", reason,
	    e->fwd.n_exchanges);
	event_log_flush();
	uv_stop(e->loop);
}

static void
on_drain_timer(uv_timer_t *timer)
{
	struct edge *e = timer->data;
	uint64_t since = clock_loop_ms(e->loop) - e->draining_since_ms;
	uint64_t grace = (uint64_t)(e->set.grace_s * 1000);

	if (since >= DRAIN_ACCEPT_MS) {
		fwd_stop_listening(&e->fwd);
		fwd_close_conns(&e->fwd, false);
		if (e->fwd.n_exchanges == 0 && e->tunnels.n_tunnels == 0 &&
		    fwd_conns_drained(&e->fwd)) {
			edge_stop(e, "drained");
			return;
		}
	}
	if (since + DRAIN_MARGIN_MS >= grace) {
		fwd_close_conns(&e->fwd, true);
		edge_stop(e, "grace_over");
	}
}

/**
 * edge_drain() - start a graceful shutdown.
 * @e: the daemon
 *
 * The daemon is no longer ready but accepts connections until the load balancer
 * has taken it out of rotation. It exits when all exchanges have ended, or
 * shortly before the grace time is over.
 */
void
edge_drain(struct edge *e)
{
	if (e->draining_since_ms != 0)
		return;
	e->draining_since_ms = clock_loop_ms(e->loop);
	event_log(LOG_NOTICE, "leaving", "exchanges=%u", e->fwd.n_exchanges);
	placer_stop(&e->placer);
	e->mesh.self.draining = true;
	mesh_send_now(&e->mesh);
	fwd_drain(&e->fwd);
	tunnel_server_drain(&e->tunnels);
	uv_timer_start(&e->drain_timer, on_drain_timer, DRAIN_POLL_MS,
	    DRAIN_POLL_MS);
}
