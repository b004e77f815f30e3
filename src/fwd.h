/* Reverse proxy: forwards the requests of clients to endpoints. */
#ifndef BL_FWD_H
#define BL_FWD_H

#include "registry.h"
#include "fwd-demand.h"
#include "fwd-drain-admit.h"
#include "fwd-expect.h"
#include "fwd-level.h"
#include "fwd-setting.h"
#include "fwd-stats.h"
#include "fwd-wire.h"

struct fwd_conn;
struct fwd_exchange;
TAILQ_HEAD(fwd_conn_list, fwd_conn);
TAILQ_HEAD(fwd_exchange_list, fwd_exchange);

/**
 * struct fwd - the proxy.
 * @loop: the event loop
 * @wire: the platform adapter's functions for headers
 * @registry: catalog and endpoints
 * @set: settings
 * @listener: listening socket for clients
 * @tick: timer that checks deadlines and timeouts
 * @dispatch_timer: one-shot timer that dispatches queued exchanges
 * @conns: client connections
 * @exchanges: all exchanges that are not done
 * @queue: exchanges that are queued without an endpoint, the most urgent
 *	first
 * @n_exchanges: length of @exchanges
 * @budgets: service name to struct fwd_budget
 * @surveys: service name to struct fwd_survey
 * @estimates: name of a model or of a plain service to struct fwd_estimate
 * @demand: what this daemon is asked, admits and refuses
 * @customers: the same by service and customer
 * @levels: which first attempts are refused, by service and model
 * @daemons: number of daemons that share the retry budget
 * @collected_ms: loop time at which evidence of endpoints was last exchanged
 * @name_hash: hash of this daemon's name
 * @held_bytes: bytes held for clients: bodies of requests in progress, buffered
 *	responses, and output that clients have not read
 * @drain: times of the shutdown while the daemon drains; connections are closed
 *	after their response
 * @listener_closed: the listener is closed
 * @last_tick_ms: loop time of the last tick
 * @withdrawn_ms: loop time at which requests were last looked through for what
 *	has been quarantined
 * @paused_ms: loop time of the last tick before the newest pause
 * @grace_until_ms: after a pause of this process, silence of endpoints and of
 *	clients is not judged before this loop time
 * @on_silent: called when all streams of an endpoint have fallen silent
 * @on_silent_arg: argument of @on_silent
 * @on_limit: called when an endpoint names, changes or lifts a rate limit
 * @on_limit_arg: argument of @on_limit
 * @on_declined: called when an endpoint asks for a backoff, of so many ms, or
 *	says that it drains (0), and which gateway that came through, or NULL
 * @on_declined_arg: argument of @on_declined
 * @stats: counters and histograms
 */
struct fwd {
	uv_loop_t *loop;
	const struct wire_ops *wire;
	struct registry *registry;
	struct fwd_setting set;
	uv_tcp_t listener;
	uv_timer_t tick;
	uv_timer_t dispatch_timer;
	struct fwd_conn_list conns;
	struct fwd_exchange_list exchanges;
	struct fwd_exchange_list queue;
	unsigned n_exchanges;
	GHashTable *budgets;
	GHashTable *surveys;
	GHashTable *estimates;
	struct fwd_demand demand;
	struct fwd_demand customers;
	struct fwd_level_list levels;
	unsigned daemons;
	uint64_t collected_ms;
	uint32_t name_hash;
	size_t held_bytes;
	struct fwd_drain_window drain;
	bool listener_closed;
	uint64_t last_tick_ms;
	uint64_t withdrawn_ms;
	uint64_t paused_ms;
	uint64_t grace_until_ms;
	void (*on_silent)(void *, struct endpoint *);
	void *on_silent_arg;
	void (*on_limit)(void *, struct endpoint *);
	void *on_limit_arg;
	void (*on_declined)(void *, const struct endpoint *, uint64_t,
	    const struct net_gateway *);
	void *on_declined_arg;
	struct fwd_stats stats;
};

int fwd_open(struct fwd *, uv_loop_t *, const struct sockaddr_in *);
void fwd_schedule_dispatch(struct fwd *);
void fwd_tick_soon(struct fwd *);
uint64_t fwd_awake_ms(const struct fwd *, uint64_t);

/* fwd-drain.c: graceful shutdown. */
void fwd_drain(struct fwd *, const struct fwd_drain_window *);
void fwd_stop_listening(struct fwd *);
void fwd_drain_close_idle(struct fwd *);
bool fwd_drain_done(const struct fwd *);
void fwd_drain_end(struct fwd *);
bool fwd_drain_closed(const struct fwd *);

/* fwd-poison-refuse.c: requests that may crash endpoints. */
void fwd_poison_sweep(struct fwd *);
bool fwd_poison_changed(const struct fwd *, uint64_t);

/* fwd-lookup.c: budgets, estimates and bounds. */
size_t fwd_hold_limit(const struct fwd *);
size_t fwd_event_limit(const struct fwd *);
struct fwd_budget *fwd_budget_get(struct fwd *, const char *);
struct fwd_estimate *fwd_estimate_get(struct fwd *, const char *);

/* fwd-evidence-collect.c: evidence of endpoints. */
void fwd_evidence_fill(const struct registry *, struct sum_table *, uint64_t);
void fwd_evidence_collect(struct fwd *, struct sum_table *, uint64_t);

#endif
