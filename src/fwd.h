/* The forwarding engine: callers on one side, endpoints on the other. */
#ifndef BL_FWD_H
#define BL_FWD_H

#include "registry.h"
#include "fwd-budget.h"
#include "fwd-expect.h"
#include "fwd-stats.h"
#include "fwd-wire.h"

struct fwd_conn;
struct fwd_exchange;
TAILQ_HEAD(fwd_conn_list, fwd_conn);
TAILQ_HEAD(fwd_exchange_list, fwd_exchange);

/**
 * struct fwd_setting - what the engine is told at its start.
 * @domain: failure domain of this daemon
 * @key_proof_ms: a key counts only while the configuration is known to have
 *	been the newest this recently
 * @keys_fail_closed: refuse known keys without that proof; otherwise they
 *	count as the newest configuration at hand has them
 * @deny_proof_ms: a request is told that its route or key is unknown only
 *	while the configuration is this fresh; otherwise to come back
 * @rest_most_ms: an endpoint that asks for rest is left alone for no longer
 * @retry: bound on repeats over all daemons
 * @released_works: work that is never quarantined: a list of log lines' names
 *	of it, separated by commas
 * @refused_works: work that is refused by the operator's word
 */
struct fwd_setting {
	const char *domain;
	uint64_t key_proof_ms;
	bool keys_fail_closed;
	uint64_t deny_proof_ms;
	uint64_t rest_most_ms;
	struct fwd_budget_rule retry;
	const char *released_works;
	const char *refused_works;
};

/**
 * struct fwd - the engine.
 * @loop: the event loop
 * @wire: the adapter's headers
 * @registry: what is known of the deployment
 * @set: settings
 * @listener: where callers connect
 * @tick: looks at times while there are exchanges
 * @dispatch_timer: gives freed places to exchanges that wait
 * @conns: connections
 * @exchanges: all that are not done
 * @queue: those without an endpoint
 * @n_exchanges: length of @exchanges
 * @budgets: service name to struct fwd_budget
 * @estimates: name of a model, or of a service without models, to struct
 *	fwd_learned
 * @daemons: that share the retry budget
 * @draining: the daemon ends; connections are closed after their answer
 * @listener_closed: the listener is closed
 * @last_tick_ms: loop time of the last tick
 * @grace_until_ms: silence is not judged before, after a pause of our own
 * @on_silent: told when all streams of an endpoint fell silent
 * @on_silent_arg: for @on_silent
 * @on_limit: told when an endpoint names, changes or lifts a limit
 * @on_limit_arg: for @on_limit
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
	GHashTable *estimates;
	unsigned daemons;
	bool draining;
	bool listener_closed;
	uint64_t last_tick_ms;
	uint64_t grace_until_ms;
	void (*on_silent)(void *, struct endpoint *);
	void *on_silent_arg;
	void (*on_limit)(void *, struct endpoint *);
	void *on_limit_arg;
	struct fwd_stats stats;
};

int fwd_open(struct fwd *, uv_loop_t *, const struct sockaddr_in *);
void fwd_drain(struct fwd *);
void fwd_stop_listening(struct fwd *);
void fwd_close_conns(struct fwd *, bool);
bool fwd_conns_drained(const struct fwd *);
void fwd_schedule_dispatch(struct fwd *);
void fwd_tick_soon(struct fwd *);
void fwd_poison_sweep(struct fwd *);
struct fwd_budget *fwd_budget_get(struct fwd *, const char *);
struct fwd_estimate *fwd_estimate_get(struct fwd *, const char *);

#endif
