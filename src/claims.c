/*
 * Claims on request ids. An attempt claims the id under a token of its own at
 * the daemon that owns the id's partition, and sends the claim again, to that
 * daemon or another, under the same token until it is decided. Sending it twice
 * does no harm, since the token identifies the attempt.
 */
#include <string.h>
#include <xxhash.h>

#include "claim-partition.h"
#include "claim-reporter.h"
#include "claims.h"
#include "cleanup.h"
#include "clock.h"
#include "event-log.h"
#include "peer-client.h"
#include "route.h"
#include "server.h"

/* How long an attempt waits for the decision on its claim. */
#define ACQUIRE_TIMEOUT_MS 4000
/* Without a decision, an operation is sent again after this time. */
#define RESEND_MS 500
/* Timeout of a call to another daemon. */
#define CALL_TIMEOUT_MS 300
/* A thread that waits for the decision on an operation. */
struct waiter {
	char *key;
	atomic_bool decided;
	struct claim_result result;
};

struct claims {
	struct server *server;
	GMutex lock;
	GCond decided;
	GHashTable *waiters;
	GMutex partition_lock;
	struct claim_partition **partitions;
	struct claim_reporter *reporter;
};

static bool claims_record(void *, struct claim_request *);

static void
result_set(struct claim_result *result, const struct claim_answer *answer)
{
	result->verdict = (enum claim_verdict)answer->verdict;
	result->status = answer->status;
	g_free(result->body);
	result->body = answer->body.body_len > 0 ?
	    g_strndup(answer->body.body_val, answer->body.body_len) :
	    NULL;
}

/*
 * The key of a waiter. The claim and the release of an attempt have the same
 * token, and a late answer to one must not be taken for an answer to the other.
 */
static char *
waiter_key(enum claim_op_kind kind, const char *token)
{
	return (g_strdup_printf("%d:%s", (int)kind, token));
}

/**
 * claims_note_decision() - note the decision on an operation of this daemon.
 * @claims: the claims
 * @kind: the operation
 * @token: token of the attempt
 * @answer: the decision; copied to the thread that waits for it
 */
void
claims_note_decision(struct claims *claims, enum claim_op_kind kind,
    const char *token, const struct claim_answer *answer)
{
	g_autofree char *key = waiter_key(kind, token);
	struct waiter *waiter;

	g_mutex_lock(&claims->lock);
	waiter = g_hash_table_lookup(claims->waiters, key);
	if (waiter != NULL && !atomic_load(&waiter->decided)) {
		result_set(&waiter->result, answer);
		atomic_store(&waiter->decided, true);
		g_cond_broadcast(&claims->decided);
	}
	g_mutex_unlock(&claims->lock);
}

/* Passes a decision of a partition to the daemon that sent the operation. */
static void
sink_decided(void *arg, const struct claim_item *item,
    const struct claim_answer *answer)
{
	struct claims *claims = arg;
	struct claim_decision decision = { item->kind, item->token, *answer };

	if (item->reply_ip == 0)
		claims_note_decision(claims, item->kind, item->token, answer);
	else
		peer_send_decision(item->reply_ip, item->reply_port, &decision);
}

/* Returns the partition with a number; creates it at its first use. */
static struct claim_partition *
claims_partition(struct claims *claims, unsigned number)
{
	struct claim_sink sink = { sink_decided, claims };
	const struct settings *set = &claims->server->set;
	struct claim_partition *p;

	g_mutex_lock(&claims->partition_lock);
	if (claims->partitions[number] == NULL)
		claims->partitions[number] =
		    claim_partition_create(claims->server->log, number,
			(uint64_t)set->claim_batch_ms, &sink);
	p = claims->partitions[number];
	g_mutex_unlock(&claims->partition_lock);
	return (p);
}

/* The number of the partition that an id belongs to. */
static unsigned
claims_partition_number(struct claims *claims, const char *id)
{
	return ((unsigned)(XXH64(id, strlen(id), 0) %
	    (uint64_t)claims->server->set.claim_partitions));
}

/**
 * claims_create() - create the claims of a daemon.
 * @server: the daemon
 */
struct claims *
claims_create(struct server *server)
{
	struct claims *claims;

	claims = g_new0(struct claims, 1);
	claims->server = server;
	g_mutex_init(&claims->lock);
	g_mutex_init(&claims->partition_lock);
	g_cond_init(&claims->decided);
	claims->waiters = g_hash_table_new(g_str_hash, g_str_equal);
	claims->partitions =
	    g_new0(struct claim_partition *, server->set.claim_partitions);
	claims->reporter = claim_reporter_create(claims_record, claims);
	return (claims);
}

/**
 * claims_free() - try once more to record the pending reports, and free.
 * @claims: the claims
 */
void
claims_free(struct claims *claims)
{
	claim_reporter_free(claims->reporter);
	for (int64_t i = 0; i < claims->server->set.claim_partitions; i++) {
		if (claims->partitions[i] != NULL)
			claim_partition_free(claims->partitions[i]);
	}
	g_free(claims->partitions);
	g_hash_table_unref(claims->waiters);
	g_mutex_clear(&claims->lock);
	g_mutex_clear(&claims->partition_lock);
	g_cond_clear(&claims->decided);
	g_free(claims);
}

/**
 * claims_serve() - submit an operation to its partition at this daemon.
 * @claims: the claims
 * @req: the operation, from this daemon or another
 * @answer: set; CLAIM_PENDING if the decision will be sent later
 */
void
claims_serve(struct claims *claims, const struct claim_request *req,
    struct claim_answer *answer)
{
	unsigned number = claims_partition_number(claims, req->item.id);

	claim_partition_submit(claims_partition(claims, number),
	    claim_item_create(req), answer);
}

/*
 * Sends an operation to the daemon that owns its partition, or serves it here.
 * If that daemon does not answer, excludes it and returns false.
 */
static bool
claims_send(struct claims *claims, struct claim_request *req, GArray *excluded,
    struct claim_answer *answer)
{
	struct members *ms = &claims->server->members;
	unsigned number = claims_partition_number(claims, req->item.id);
	struct member owner;

	if (!members_owner(ms, route_mix(number + 1), clock_now_ms(), excluded,
		&owner)) {
		req->reply_ip = 0;
		claims_serve(claims, req, answer);
		return (true);
	}
	req->reply_ip = ms->self.ip;
	req->reply_port = ms->self.port;
	if (peer_claim(owner.ip, owner.port, req, answer, CALL_TIMEOUT_MS))
		return (true);
	log_debug("claim_owner_silent", "partition=%u", number);
	g_array_append_val(excluded, owner.name_hash);
	return (false);
}

/* Waits for the decision for at most RESEND_MS; returns whether it is made. */
static bool
waiter_wait(struct claims *claims, struct waiter *waiter, uint64_t until_ms)
{
	uint64_t now = clock_now_ms();
	uint64_t ms = until_ms > now ? MIN(until_ms - now, RESEND_MS) : 0;
	gint64 until = g_get_monotonic_time() + (gint64)ms * 1000;

	g_mutex_lock(&claims->lock);
	while (!atomic_load(&waiter->decided) &&
	    g_cond_wait_until(&claims->decided, &claims->lock, until))
		;
	g_mutex_unlock(&claims->lock);
	return (atomic_load(&waiter->decided));
}

static void
waiter_register(struct claims *claims, struct waiter *waiter,
    const struct claim_request *req)
{
	waiter->key =
	    waiter_key((enum claim_op_kind)req->item.op, req->item.token);
	waiter->result.verdict = CLAIM_UNAVAILABLE;
	g_mutex_lock(&claims->lock);
	g_hash_table_insert(claims->waiters, waiter->key, waiter);
	g_mutex_unlock(&claims->lock);
}

static void
waiter_unregister(struct claims *claims, struct waiter *waiter)
{
	g_mutex_lock(&claims->lock);
	g_hash_table_remove(claims->waiters, waiter->key);
	g_mutex_unlock(&claims->lock);
	g_free(waiter->key);
}

/* Sends an operation once and waits for the decision; see waiter_wait(). */
static bool
claims_send_and_wait(struct claims *claims, struct claim_request *req,
    GArray *excluded, struct waiter *waiter, uint64_t until_ms)
{
	struct claim_answer answer;

	if (!claims_send(claims, req, excluded, &answer))
		return (false);
	if (answer.verdict != CLAIM_PENDING)
		claims_note_decision(claims, (enum claim_op_kind)req->item.op,
		    req->item.token, &answer);
	xdr_free((xdrproc_t)xdr_claim_answer, &answer);
	return (waiter_wait(claims, waiter, until_ms));
}

/**
 * claims_acquire() - claim a request id for one attempt.
 * @claims: the claims
 * @id: customer and request id
 * @token: token of the attempt; never reused
 * @fingerprint: hash of the request
 * @deadline_ms: deadline of the request, monotonic time in ms
 * @result: set; CLAIM_UNAVAILABLE if the log failed or there was no decision
 *	in time
 *
 * After CLAIM_UNAVAILABLE the claim may still take effect. The attempt must not
 * dispatch the request, and must submit CLAIM_OP_RELEASE by claims_report().
 */
void
claims_acquire(struct claims *claims, const char *id, const char *token,
    uint64_t fingerprint, uint64_t deadline_ms, struct claim_result *result)
{
	g_autoptr(GArray) excluded =
	    g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t until = MIN(deadline_ms, clock_now_ms() + ACQUIRE_TIMEOUT_MS);
	struct claim_request req = { 0 };
	struct waiter waiter = { 0 };

	req.item.op = CLAIM_OP_CLAIM;
	req.item.id = (char *)id;
	req.item.token = (char *)token;
	req.item.fingerprint = fingerprint;
	waiter_register(claims, &waiter, &req);
	while (clock_now_ms() < until) {
		if (claims_send_and_wait(claims, &req, excluded, &waiter,
			until))
			break;
	}
	waiter_unregister(claims, &waiter);
	*result = waiter.result;
}

/**
 * claims_report() - record a finish or a release, in the background.
 * @claims: the claims
 * @kind: CLAIM_OP_FINISH or CLAIM_OP_RELEASE
 * @id: customer and request id
 * @token: token of the attempt
 * @status: HTTP status of the response, for CLAIM_OP_FINISH
 * @body: body of the response, or NULL; dropped if longer than CLAIM_BODY_MAX
 *	bytes
 */
void
claims_report(struct claims *claims, enum claim_op_kind kind, const char *id,
    const char *token, int status, const char *body)
{
	claim_reporter_add(claims->reporter, kind, id, token, status, body);
}

/* Sends a finish or release once; returns whether it was recorded. */
static bool
claims_record(void *arg, struct claim_request *req)
{
	g_autoptr(GArray) excluded =
	    g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct claims *claims = arg;
	struct waiter waiter = { 0 };

	waiter_register(claims, &waiter, req);
	claims_send_and_wait(claims, req, excluded, &waiter, UINT64_MAX);
	waiter_unregister(claims, &waiter);
	g_free(waiter.result.body);
	return (waiter.result.verdict == CLAIM_GRANTED);
}
