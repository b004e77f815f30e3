/* Reverse proxy: forwards the requests of clients to endpoints. */
#ifndef BL_FWD_H
#define BL_FWD_H

#include "dir.h"
#include "fwd-budget.h"
#include "fwd-expect.h"
#include "fwd-stats.h"
#include "fwd-wire.h"

struct fwd_caller;
struct fwd_exchange;
TAILQ_HEAD(fwd_caller_list, fwd_caller);
TAILQ_HEAD(fwd_exchange_list, fwd_exchange);

/**
 * struct fwd_setting - settings of the proxy.
 * @domain: failure domain of this daemon
 * @key_proof_ms: with @keys_fail_closed, an API key is accepted only if the
 *	configuration was verified to be the newest within this time
 * @keys_fail_closed: refuse known keys while the configuration is older than
 *	that; otherwise they are accepted according to the newest configuration
 *	that the daemon has
 * @deny_proof_ms: an unknown route or key is denied for good only if the
 *	configuration was verified within this time; otherwise the client is
 *	told to retry
 * @rest_most_ms: upper bound on the backoff that an endpoint may request
 * @retry: bound on retries over all daemons
 * @released_works: requests that are never quarantined: fingerprints as they
 *	stand in log lines, separated by commas
 * @refused_works: requests that the operator has refused, in the same form
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
 * struct fwd - the proxy.
 * @loop: the event loop
 * @wire: the platform adapter's functions for headers
 * @dir: catalog and endpoints
 * @set: settings
 * @listener: listening socket for clients
 * @tick: timer that checks deadlines and timeouts
 * @kick: one-shot timer that dispatches queued exchanges
 * @callers: client connections
 * @exchanges: all exchanges that are not done
 * @waiting: exchanges that are queued without an endpoint, the most urgent
 *	first
 * @n_exchanges: length of @exchanges
 * @budgets: service name to struct fwd_budget
 * @learned: name of a model, or of a service without models, to struct
 *	fwd_learned
 * @daemons: number of daemons that share the retry budget
 * @leaving: the daemon is shutting down; connections are closed after their
 *	response
 * @closed: the listener is closed
 * @last_tick_ms: loop time of the last tick
 * @blind_until_ms: after a pause of this process, silence of endpoints is not
 *	judged before this loop time
 * @suspect: called when all streams of an endpoint have fallen silent
 * @suspect_arg: argument of @suspect
 * @limited: called when an endpoint sets, changes or lifts a rate limit
 * @limited_arg: argument of @limited
 * @stats: counters and histograms
 */
struct fwd {
	uv_loop_t *loop;
	const struct wire_ops *wire;
	struct dir *dir;
	struct fwd_setting set;
	uv_tcp_t listener;
	uv_timer_t tick;
	uv_timer_t kick;
	struct fwd_caller_list callers;
	struct fwd_exchange_list exchanges;
	struct fwd_exchange_list waiting;
	unsigned n_exchanges;
	GHashTable *budgets;
	GHashTable *learned;
	unsigned daemons;
	bool leaving;
	bool closed;
	uint64_t last_tick_ms;
	uint64_t blind_until_ms;
	void (*suspect)(void *, struct endpoint *);
	void *suspect_arg;
	void (*limited)(void *, struct endpoint *);
	void *limited_arg;
	struct fwd_stats stats;
};

int fwd_open(struct fwd *, uv_loop_t *, const struct sockaddr_in *);
void fwd_leave(struct fwd *);
void fwd_stop_listening(struct fwd *);
void fwd_close_callers(struct fwd *, bool);
bool fwd_callers_quiet(const struct fwd *);
void fwd_kick(struct fwd *);
void fwd_wake(struct fwd *);
void fwd_poison_sweep(struct fwd *);
struct fwd_budget *fwd_budget_of(struct fwd *, const char *);
struct fwd_learned *fwd_learned_of(struct fwd *, const char *);

#endif
