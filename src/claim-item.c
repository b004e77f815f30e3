/* An operation on a request id that is queued for the log. */
#include "claim-item.h"

/**
 * claim_item_create() - create an item from a claim request.
 * @req: the request, from this daemon or another; copied
 */
struct claim_item *
claim_item_create(const struct claim_request *req)
{
	const struct claim_op *op = &req->item;
	struct claim_item *item;

	item = g_new0(struct claim_item, 1);
	item->kind = (enum claim_op_kind)op->op;
	item->id = g_strdup(op->id);
	item->token = g_strdup(op->token);
	item->fingerprint = op->fingerprint;
	item->status = op->status;
	if (op->body.body_len > 0)
		item->body = g_strndup(op->body.body_val, op->body.body_len);
	item->reply_ip = req->reply_ip;
	item->reply_port = (uint16_t)req->reply_port;
	return (item);
}

/**
 * claim_item_free() - free an item.
 * @item: the item
 */
void
claim_item_free(struct claim_item *item)
{
	g_free(item->id);
	g_free(item->token);
	g_free(item->body);
	g_free(item);
}
