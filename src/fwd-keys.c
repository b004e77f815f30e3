/* What of a request may be to blame for crashes of endpoints. */
#include "fwd-exchange.h"

/* Adds a key unless the request has it already. */
static void
keys_add(struct poison_keys *keys, uint64_t fingerprint, bool part)
{
	for (unsigned i = 0; i < keys->n; i++) {
		if (keys->key[i].fingerprint == fingerprint)
			return;
	}
	keys->key[keys->n++] = (struct poison_key){ fingerprint, part };
}

/* Computes the fingerprint of the request as a whole. */
static uint64_t
keys_request(const struct fwd_exchange *ex, const char *customer,
    const char *method)
{
	const struct net_head *head = &ex->conn->head;
	const struct fwd_fingerprint_input input = {
		.method = method,
		.host = net_head_find(head, "host"),
		.target = net_head_target(head),
		.customer = customer,
		.body = ex->body->data,
		.length = ex->body->len,
	};

	return (fwd_fingerprint_compute(&input));
}

/**
 * fwd_keys_compute() - compute what of a request may be to blame for crashes.
 * @ex: the exchange, with its route, customer, service and model; its keys are
 *	set
 * @prompt: the parts of its prompt; the last one belongs to the request alone
 * @method: the request's method
 */
void
fwd_keys_compute(struct fwd_exchange *ex, const struct wire_prompt *prompt,
    const char *method)
{
	struct fwd_part_input input = {
		.customer = ex->customer != NULL ? ex->customer->name : NULL,
		.service = ex->service,
		.model = ex->model != NULL ? ex->model->name : NULL,
	};

	ex->keys.n = 0;
	keys_add(&ex->keys, keys_request(ex, input.customer, method), false);
	for (unsigned i = 0; i + 1 < prompt->n; i++) {
		input.id = prompt->parts[i].id;
		keys_add(&ex->keys, fwd_fingerprint_compute_part(&input), true);
	}
}

/**
 * fwd_keys_name() - get the short form of the request's fingerprint for the
 * log.
 * @ex: the exchange
 *
 * Return: the short form; 0 until the request is routed.
 */
uint32_t
fwd_keys_name(const struct fwd_exchange *ex)
{
	return (ex->keys.n > 0 ?
		FINGERPRINT_SHORT(ex->keys.key[0].fingerprint) :
		0);
}

/**
 * fwd_keys_format() - describe for the log what may be to blame for crashes.
 * @ex: the exchange
 *
 * Return: the short form of each key with the number of crashes that it is
 * suspected of; to be freed.
 */
char *
fwd_keys_format(const struct fwd_exchange *ex)
{
	const struct poison *poison = &ex->fwd->registry->poison;
	GString *text = g_string_new(NULL);

	for (unsigned i = 0; i < ex->keys.n; i++) {
		uint64_t fingerprint = ex->keys.key[i].fingerprint;
		const struct poison_suspect *suspect =
		    poison_find(poison, fingerprint);

		g_string_append_printf(text, "%s%08x:%u", i > 0 ? "," : "",
		    FINGERPRINT_SHORT(fingerprint),
		    suspect != NULL ? suspect->n_crashes : 0);
	}
	return (g_string_free(text, FALSE));
}
