/* Graceful shutdown of the daemon. */
#include "clock.h"
#include "edge.h"
#include "event-log.h"

/* How long new connections are accepted while draining. A load balancer that
 * checks readiness every second and removes a daemon after two failures sends
 * no more clients by then. */
#define DRAIN_ACCEPT_MS 3000
#define DRAIN_POLL_MS 50
/* What is left is ended this long before the end of the grace time, and the
 * process exits this long before it at the latest: the time between is for the
 * last responses to leave. */
#define DRAIN_END_MS 700
#define DRAIN_EXIT_MS 200

/* Stops the event loop; what still runs ends with the process. */
static void
edge_stop(struct edge *e, const char *reason)
{
	event_log(LOG_NOTICE, "stopped", "reason=%s exchanges=%u", reason,
	    e->fwd.n_exchanges);
	event_log_flush();
	uv_stop(e->loop);
}

/* Loop time by which what the daemon does must be done, with so much time left
 * of the grace time. The settings may change meanwhile. */
static uint64_t
edge_drain_deadline(const struct edge *e, uint64_t left_ms)
{
	uint64_t grace = (uint64_t)(e->set.grace_s * 1000);

	return (e->draining_since_ms + grace - MIN(left_ms, grace));
}

/* Whether nothing is under way through this daemon. */
static bool
edge_drained(const struct edge *e)
{
	return (fwd_drain_done(&e->fwd) && e->tunnels.n_tunnels == 0);
}

/* Ends what is left at the end of the grace time. */
static void
edge_drain_end(struct edge *e)
{
	uint64_t now = clock_loop_ms(e->loop);

	fwd_drain_end(&e->fwd);
	if (now >= edge_drain_deadline(e, DRAIN_EXIT_MS) ||
	    (fwd_drain_closed(&e->fwd) && e->tunnels.n_tunnels == 0))
		edge_stop(e, "grace_over");
}

/* Passes the times of the shutdown on to the proxy. */
static void
edge_set_drain_window(struct edge *e)
{
	const struct fwd_drain_window window = {
		.estimate_until_ms = e->draining_since_ms + DRAIN_ACCEPT_MS,
		.end_ms = edge_drain_deadline(e, DRAIN_END_MS),
	};

	fwd_drain(&e->fwd, &window);
}

static void
on_drain_timer(uv_timer_t *timer)
{
	struct edge *e = timer->data;
	uint64_t now = clock_loop_ms(e->loop);

	edge_set_drain_window(e);
	if (now >= e->draining_since_ms + DRAIN_ACCEPT_MS) {
		fwd_stop_listening(&e->fwd);
		fwd_drain_close_idle(&e->fwd);
		if (edge_drained(e)) {
			edge_stop(e, "drained");
			return;
		}
	}
	if (now >= e->fwd.drain.end_ms)
		edge_drain_end(e);
}

/**
 * edge_drain() - start a graceful shutdown.
 * @e: the daemon
 *
 * The daemon is no longer ready but accepts connections until the load balancer
 * has taken it out of rotation. It exits when all exchanges have ended, or
 * shortly before the grace time is over, after each that is left got an end.
 */
void
edge_drain(struct edge *e)
{
	if (e->draining_since_ms != 0)
		return;
	/* The platform counts from when it sent the signal, and this process
	 * may have been stopped since. */
	e->draining_since_ms = fwd_awake_ms(&e->fwd, clock_loop_ms(e->loop));
	event_log(LOG_NOTICE, "leaving", "exchanges=%u", e->fwd.n_exchanges);
	placer_stop(&e->placer);
	e->mesh.self.draining = true;
	mesh_send_now(&e->mesh);
	edge_set_drain_window(e);
	tunnel_server_drain(&e->tunnels);
	uv_timer_start(&e->drain_timer, on_drain_timer, DRAIN_POLL_MS,
	    DRAIN_POLL_MS);
}
