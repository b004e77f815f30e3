/* XDR encoding of the sums that daemons send each other. */
#include <string.h>

#include "mesh-message-sums.h"

/* Largest tables of sums that are accepted, also of kinds that are not known
 * here. */
#define SUM_KINDS_MAX 16
#define SUM_VALUES_ACCEPTED_MAX 16

/*
 * Encodes or decodes one row. Values that are not known here are skipped, and
 * those that the sender does not know are 0.
 */
static bool_t
xdr_sum_row(XDR *xdr, struct sum_row *row, uint32_t n_values)
{
	if (!xdr_uint32_t(xdr, &row->key))
		return (FALSE);
	for (uint32_t i = 0; i < n_values; i++) {
		uint32_t skipped;

		if (!xdr_uint32_t(xdr,
			i < SUM_VALUES_MAX ? &row->values[i] : &skipped))
			return (FALSE);
	}
	return (TRUE);
}

/* Encodes or decodes the rows of one table; those of an unknown kind are
 * skipped. */
static bool_t
xdr_sum_rows(XDR *xdr, struct sum_table *table, uint32_t n, uint32_t n_values)
{
	for (uint32_t i = 0; i < n; i++) {
		struct sum_row skipped;
		struct sum_row *row =
		    table != NULL ? &table->rows[i] : &skipped;

		if (xdr->x_op == XDR_DECODE)
			memset(row, 0, sizeof *row);
		if (!xdr_sum_row(xdr, row, n_values))
			return (FALSE);
	}
	return (TRUE);
}

/* Encodes or decodes a table of a kind, with the kind and its size. */
static bool_t
xdr_sum_table(XDR *xdr, struct mesh_message *msg, uint32_t kind)
{
	bool encode = xdr->x_op == XDR_ENCODE;
	uint32_t n_values = encode ? sum_specs[kind].n_values : 0;
	uint32_t n = encode ? msg->sums[kind].n : 0;
	struct sum_table *table;

	if (!xdr_uint32_t(xdr, &kind) || !xdr_uint32_t(xdr, &n_values) ||
	    !xdr_uint32_t(xdr, &n) || n_values > SUM_VALUES_ACCEPTED_MAX ||
	    n > SUM_ROWS_MAX)
		return (FALSE);
	table = kind < SUM_KINDS ? &msg->sums[kind] : NULL;
	if (!xdr_sum_rows(xdr, table, n, n_values))
		return (FALSE);
	if (table != NULL)
		table->n = n;
	return (TRUE);
}

/**
 * mesh_sums_count() - number of tables of sums that have rows.
 * @msg: the datagram
 */
uint32_t
mesh_sums_count(const struct mesh_message *msg)
{
	uint32_t n = 0;

	for (unsigned kind = 0; kind < SUM_KINDS; kind++)
		n += msg->sums[kind].n > 0;
	return (n);
}

static bool_t
encode_sums(XDR *xdr, struct mesh_message *msg)
{
	uint32_t n = mesh_sums_count(msg);

	if (!xdr_uint32_t(xdr, &n))
		return (FALSE);
	for (uint32_t kind = 0; kind < SUM_KINDS; kind++) {
		if (msg->sums[kind].n > 0 && !xdr_sum_table(xdr, msg, kind))
			return (FALSE);
	}
	return (TRUE);
}

static bool_t
decode_sums(XDR *xdr, struct mesh_message *msg)
{
	uint32_t n;

	if (!xdr_uint32_t(xdr, &n) || n > SUM_KINDS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < n; i++) {
		if (!xdr_sum_table(xdr, msg, 0))
			return (FALSE);
	}
	return (TRUE);
}

/**
 * mesh_sums_xdr() - encode or decode the tables, depending on the operation.
 * @xdr: the XDR stream
 * @msg: the datagram
 */
bool_t
mesh_sums_xdr(XDR *xdr, struct mesh_message *msg)
{
	return (xdr->x_op == XDR_ENCODE ? encode_sums(xdr, msg) :
					  decode_sums(xdr, msg));
}
