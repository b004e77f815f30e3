/* A client's request, from admission to its outcome. */
#include <stdarg.h>
#include <string.h>
#include <urcu-bp.h>

#include "clock.h"
#include "event-log.h"
#include "policy-series.h"
#include "random.h"
#include "request.h"

/* How long a request waits for gossip from other failure domains. */
#define REMOTE_WAIT_MS 600
#define REMOTE_POLL_MS 20

/**
 * request_create() - create a request that passed the customer's limits.
 * @server: this daemon
 * @customer: the customer that sent it; ownership of the reference is taken
 * @id: the client's request id, or NULL to generate one
 */
struct request *
request_create(struct server *server, struct customer *customer, const char *id)
{
	struct request *req;

	req = g_new0(struct request, 1);
	req->server = server;
	req->customer = customer;
	req->id = id != NULL ? g_strdup(id) : random_id();
	req->started_us = clock_now_us();
	req->tried =
	    g_ptr_array_new_with_free_func((GDestroyNotify)target_unref);
	atomic_fetch_add(&server->active, 1);
	return (req);
}

/**
 * request_free() - free a request and release its slot and its part of the
 * customer's limits.
 * @req: the request
 */
void
request_free(struct request *req)
{
	/* The client has disconnected: the request may have run. */
	if (!req->ended)
		request_end(req, OUTCOME_UNKNOWN, 0, NULL);
	if (req->admission != NULL) {
		admission_release(req->admission,
		    clock_now_ms() - req->slot_ms);
		admission_unref(req->admission);
	}
	limit_release(&req->customer->limit);
	atomic_fetch_sub(&req->server->active, 1);
	customer_unref(req->customer);
	g_ptr_array_unref(req->tried);
	g_free(req->id);
	g_free(req->claim_id);
	g_free(req->token);
	g_free(req->service);
	g_free(req);
}

/**
 * request_cleanup() - free a request at the end of its scope (cleanup
 * attribute).
 * @req: the variable; may hold NULL
 */
void
request_cleanup(struct request **req)
{
	if (*req != NULL)
		request_free(*req);
}

/*
 * Returns the route set of the request's deployment or service, or NULL. Called
 * within an RCU read-side section.
 */
static struct route_set *
request_route_set(struct request *req, const struct view *view)
{
	if (view == NULL)
		return (NULL);
	return (g_hash_table_lookup(req->is_service ? view->services :
						      view->deployments,
	    req->service));
}

/**
 * request_service_declared() - whether the deployment or service is declared.
 * @req: the request
 * @refusing: set to whether this daemon refuses new requests
 */
bool
request_service_declared(struct request *req, bool *refusing)
{
	bool known;

	rcu_read_lock();
	known =
	    request_route_set(req, rcu_dereference(req->server->view)) != NULL;
	rcu_read_unlock();
	*refusing = atomic_load(&req->server->refusing);
	return (known);
}

/* Returns a reference to the admission queue of the deployment, or NULL. */
static struct admission *
request_admission(struct request *req)
{
	struct admission *a = NULL;
	struct route_set *set;

	rcu_read_lock();
	set = request_route_set(req, rcu_dereference(req->server->view));
	if (set != NULL && set->admission != NULL)
		a = admission_ref(set->admission);
	rcu_read_unlock();
	return (a);
}

/**
 * request_admit() - wait for a slot at the deployment's replicas.
 * @req: the request
 * @f: set if the request is refused, at once or at its deadline
 *
 * Return: false if @f was set.
 */
bool
request_admit(struct request *req, struct failure *f)
{
	struct admission *a = request_admission(req);
	uint64_t retry_ms = 0;

	if (a == NULL)
		return (true);
	req->ticket.weight = atomic_load(&req->customer->weight);
	req->ticket.batch = atomic_load(&req->customer->batch);
	req->ticket.deadline_ms = req->deadline_ms;
	if (admission_acquire(a, &req->ticket,
		customer_flow(req->customer, req->service),
		&retry_ms) == FAIR_GRANTED) {
		req->admission = a;
		req->slot_ms = clock_now_ms();
		return (true);
	}
	admission_unref(a);
	request_count_refused(req);
	failure_set(f, ERROR_OVERLOADED, OUTCOME_NOT_RUN, retry_ms + 1,
	    "the replicas are busy, and the queue is full or too long");
	return (false);
}

/* Chooses one of the targets that are valid now; NULL if there is none. */
static struct target *
request_choose_target(struct request *req)
{
	struct route_request rr = { .prefix = req->prefix };
	struct target *target = NULL;
	struct route_set *set;

	rr.random = ((uint64_t)g_random_int() << 32) | g_random_int();
	rcu_read_lock();
	set = request_route_set(req, rcu_dereference(req->server->view));
	if (set != NULL)
		target = route_set_choose(set, &rr, req->tried, clock_now_ms(),
		    &req->policy);
	rcu_read_unlock();
	if (target == NULL ||
	    strcmp(target->domain, req->server->set.domain) != 0)
		atomic_store(&req->server->remote_used_ms, clock_now_ms());
	return (target);
}

/*
 * Whether there are further targets that could become valid by gossip from
 * other failure domains.
 */
static bool
request_has_remote(struct request *req)
{
	struct route_set *set;
	bool has = false;

	rcu_read_lock();
	set = request_route_set(req, rcu_dereference(req->server->view));
	if (set != NULL)
		has = route_set_has_remote(set, req->tried);
	rcu_read_unlock();
	return (has);
}

/*
 * Requests gossip from the other failure domains and waits for it, for at most
 * REMOTE_WAIT_MS.
 */
static struct target *
request_choose_remote(struct request *req)
{
	uint64_t until_ms =
	    MIN(clock_now_ms() + REMOTE_WAIT_MS, req->deadline_ms);
	struct target *target = NULL;

	while (target == NULL && clock_now_ms() < until_ms) {
		atomic_store(&req->server->want_remote, true);
		g_usleep(REMOTE_POLL_MS * 1000);
		target = request_choose_target(req);
	}
	return (target);
}

/**
 * request_expired() - whether the deadline of the request has passed.
 * @req: the request
 *
 * Checked before every dispatch: a daemon that was suspended must not dispatch
 * a request that the client has given up on.
 */
bool
request_expired(const struct request *req)
{
	return (clock_now_ms() >= req->deadline_ms);
}

/**
 * request_next_target() - choose the next target.
 * @req: the request
 *
 * Daemons of other failure domains are queried for gossip rarely, since it is
 * rarely needed. If no target in the daemon's own failure domain is left, they
 * are queried at once, but not again for the same request.
 *
 * Return: a target that the request was not sent to before, owned by @tried;
 * NULL if there is none or the deadline has passed.
 */
struct target *
request_next_target(struct request *req)
{
	struct target *target;

	if (request_expired(req))
		return (NULL);
	target = request_choose_target(req);
	if (target == NULL && !req->queried_remote && request_has_remote(req)) {
		req->queried_remote = true;
		target = request_choose_remote(req);
	}
	if (target != NULL)
		g_ptr_array_add(req->tried, target);
	return (target);
}

/**
 * request_retry_target() - choose the target of a retry, and take the retry
 * from the customer's retry budget.
 * @req: the request
 *
 * A caller that can do without the retry loses nothing by asking.
 *
 * Return: as request_next_target(); NULL also if the budget is used up.
 */
struct target *
request_retry_target(struct request *req)
{
	struct retry_budget *budget =
	    customer_retry_budget(req->customer, req->service);
	struct target *target = NULL;

	if (retry_budget_left(budget))
		target = request_next_target(req);
	if (target == NULL || !retry_budget_take(budget))
		return (NULL);
	return (target);
}

/* Counts the end of a request in one series of the metrics. */
static void
count_end(struct series *s, enum outcome outcome, uint64_t us)
{
	switch (outcome) {
	case OUTCOME_WHOLE:
		atomic_fetch_add(&s->whole, 1);
		histogram_add(&s->total_us, us);
		break;
	case OUTCOME_NOT_RUN:
		atomic_fetch_add(&s->not_run, 1);
		break;
	case OUTCOME_UNKNOWN:
		atomic_fetch_add(&s->unknown, 1);
		break;
	}
}

/*
 * Records the end of a request whose id was claimed. If its outcome is unknown,
 * the claim stays as it is, so that the request is not run again.
 */
static void
request_end_claim(struct request *req, enum outcome outcome, int status,
    const char *body)
{
	if (req->claim_id == NULL)
		return;
	if (outcome == OUTCOME_WHOLE)
		claims_report(req->server->claims, CLAIM_OP_FINISH,
		    req->claim_id, req->token, status, body);
	else if (outcome == OUTCOME_NOT_RUN)
		claims_report(req->server->claims, CLAIM_OP_RELEASE,
		    req->claim_id, req->token, 0, NULL);
}

/**
 * request_end() - count and log the end of a request, and record it if the id
 * is claimed. Does nothing if the request has ended before.
 * @req: the request
 * @outcome: its outcome
 * @status: HTTP status of the response
 * @body: body of the response if it is text, or NULL
 */
void
request_end(struct request *req, enum outcome outcome, int status,
    const char *body)
{
	uint64_t us = clock_now_us() - req->started_us;
	g_autofree char *id = event_log_quote(req->id);
	bool batch = atomic_load(&req->customer->batch);

	if (req->ended)
		return;
	req->ended = true;
	count_end(&req->customer->series, outcome, us);
	count_end(policy_series(req->policy), outcome, us);
	count_end(class_series(batch), outcome, us);
	if (outcome == OUTCOME_WHOLE && req->service != NULL)
		retry_budget_note_success(
		    customer_retry_budget(req->customer, req->service));
	request_end_claim(req, outcome, status, body);
	event_log(outcome == OUTCOME_UNKNOWN ? LOG_NOTICE : LOG_INFO,
	    "request_end",
	    "request=%s customer=%s service=%s outcome=%s "
	    "status=%d calls=%u us=%" G_GUINT64_FORMAT,
	    id, req->customer->name, req->service != NULL ? req->service : "-",
	    outcome_name(outcome), status, req->tried->len, us);
}

/**
 * request_count_refused() - count a request that was refused by a limit.
 * @req: the request
 */
void
request_count_refused(struct request *req)
{
	atomic_fetch_add(&req->customer->series.refused, 1);
}

/**
 * failure_set() - set why a request failed.
 * @f: the failure; its previous message is freed
 * @error: error code
 * @outcome: what is known of whether the request ran
 * @retry_after_ms: delay after which the client may retry, 0 if it should not
 * @fmt: format of a human-readable message
 */
void
failure_set(struct failure *f, enum error_code error, enum outcome outcome,
    uint64_t retry_after_ms, const char *fmt, ...)
{
	va_list ap;

	g_free(f->message);
	f->error = error;
	f->outcome = outcome;
	f->retry_after_ms = retry_after_ms;
	va_start(ap, fmt);
	f->message = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

/**
 * failure_clear() - free the content of a failure (cleanup attribute).
 * @f: the failure
 */
void
failure_clear(struct failure *f)
{
	g_clear_pointer(&f->message, g_free);
}
