/*
 * Index of the claims on request ids. The order of the log decides: the first
 * claim on an id wins, whichever daemon wrote it, so a daemon that was paused
 * or replaced can never win an id that another attempt holds. This needs
 * neither a clock nor an owner.
 */
#include <string.h>

#include "claim-index.h"

static void
claim_free(void *arg)
{
	struct claim *claim = arg;

	g_free(claim->id);
	g_free(claim->token);
	g_free(claim->body);
	g_free(claim);
}

/**
 * claim_index_init() - initialize an empty index, before the first record.
 * @index: the index
 */
void
claim_index_init(struct claim_index *index)
{
	index->next = 1;
	index->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, claim_free);
	index->released =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/**
 * claim_index_destroy() - free the content of an index.
 * @index: the index
 */
void
claim_index_destroy(struct claim_index *index)
{
	g_hash_table_unref(index->by_id);
	g_hash_table_unref(index->released);
}

static void
apply_claim(struct claim_index *index, uint64_t offset, const char *id,
    const char *token, uint64_t fingerprint)
{
	struct claim *claim;

	if (g_hash_table_contains(index->by_id, id) ||
	    g_hash_table_contains(index->released, token))
		return;
	claim = g_new0(struct claim, 1);
	claim->id = g_strdup(id);
	claim->token = g_strdup(token);
	claim->fingerprint = fingerprint;
	claim->offset = offset;
	g_hash_table_insert(index->by_id, claim->id, claim);
}

static void
apply_finish(struct claim_index *index, const char *id, const char *token,
    int status, const char *body)
{
	struct claim *claim = g_hash_table_lookup(index->by_id, id);

	if (claim == NULL || claim->done || strcmp(claim->token, token) != 0)
		return;
	claim->done = true;
	claim->status = status;
	claim->body = g_strdup(body);
}

static void
apply_release(struct claim_index *index, uint64_t offset, const char *id,
    const char *token)
{
	struct claim *claim = g_hash_table_lookup(index->by_id, id);

	g_hash_table_replace(index->released, g_strdup(token),
	    g_memdup2(&offset, sizeof offset));
	if (claim != NULL && !claim->done && strcmp(claim->token, token) == 0)
		g_hash_table_remove(index->by_id, id);
}

static void
apply_op(struct claim_index *index, uint64_t offset, json_t *op)
{
	const char *id, *token, *text;
	json_int_t fingerprint = 0;
	int kind, status = 0;
	json_t *body;

	if (json_unpack(op, "[i, s, s, I, i, o]", &kind, &id, &token,
		&fingerprint, &status, &body) != 0)
		return;
	text = json_string_value(body);
	switch ((enum claim_op_kind)kind) {
	case CLAIM_OP_CLAIM:
		apply_claim(index, offset, id, token, (uint64_t)fingerprint);
		break;
	case CLAIM_OP_FINISH:
		apply_finish(index, id, token, status, text);
		break;
	case CLAIM_OP_RELEASE:
		apply_release(index, offset, id, token);
		break;
	}
}

/**
 * claim_index_apply() - apply one record.
 * @index: the index; expects the following offset next
 * @offset: offset of the record; not below @index's next
 * @record: the record, or NULL if it could not be parsed
 */
void
claim_index_apply(struct claim_index *index, uint64_t offset, json_t *record)
{
	json_t *ops = json_object_get(record, "ops");
	json_t *op;
	size_t i;

	index->next = offset + 1;
	json_array_foreach(ops, i, op)
		apply_op(index, offset, op);
}

static gboolean
claim_expired(gpointer key, gpointer value, gpointer arg)
{
	const struct claim *claim = value;

	return (claim->offset < *(uint64_t *)arg);
}

static gboolean
release_expired(gpointer key, gpointer value, gpointer arg)
{
	return (*(uint64_t *)value < *(uint64_t *)arg);
}

/**
 * claim_index_expire() - drop the claims and releases whose records the log no
 * longer retains.
 * @index: the index
 * @first: oldest offset that the log retains
 */
void
claim_index_expire(struct claim_index *index, uint64_t first)
{
	g_hash_table_foreach_remove(index->by_id, claim_expired, &first);
	g_hash_table_foreach_remove(index->released, release_expired, &first);
}

/**
 * claim_index_verdict() - look up the verdict on an attempt's claim.
 * @index: the index; the record of the attempt's claim is applied
 * @id: customer and request id
 * @token: token of the attempt
 * @fingerprint: hash of the request
 * @claim: set to the claim on the id, or NULL
 *
 * Return: CLAIM_PENDING if nobody holds the id.
 */
enum claim_verdict
claim_index_verdict(const struct claim_index *index, const char *id,
    const char *token, uint64_t fingerprint, const struct claim **claim)
{
	*claim = g_hash_table_lookup(index->by_id, id);
	if (*claim == NULL)
		return (CLAIM_PENDING);
	if (strcmp((*claim)->token, token) == 0)
		return (CLAIM_GRANTED);
	if ((*claim)->fingerprint != fingerprint)
		return (CLAIM_REUSED);
	return ((*claim)->done ? CLAIM_DONE : CLAIM_RUNNING);
}

/**
 * claim_op_dump() - encode an operation for a record.
 * @kind: the operation
 * @id: customer and request id
 * @token: token of the attempt
 * @fingerprint: hash of the request, for CLAIM_OP_CLAIM
 * @status: HTTP status of the response, for CLAIM_OP_FINISH
 * @body: body of the response, for CLAIM_OP_FINISH, or NULL
 *
 * Return: the operation, or NULL if a string is not valid UTF-8.
 */
json_t *
claim_op_dump(enum claim_op_kind kind, const char *id, const char *token,
    uint64_t fingerprint, int status, const char *body)
{
	return (json_pack("[i, s, s, I, i, s?]", (int)kind, id, token,
	    (json_int_t)fingerprint, status, body));
}
