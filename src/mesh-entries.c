/* Entries of endpoints that one daemon tells the others, encoded by XDR. */
#include <rpc/rpc.h>
#include <string.h>

#include "mesh-entries.h"
#include "store-ops.h"

/* First word of each datagram: "BLE" and the version of the format. */
#define ENTRIES_MAGIC 0x424c4501u

/* The same of a question for entries: "BLA". */
#define ASK_MAGIC 0x424c4101u

static bool_t
xdr_ask(XDR *xdr, struct mesh_resend *ask)
{
	uint32_t magic = ASK_MAGIC;
	char *name = ask->name;

	return (xdr_uint32_t(xdr, &magic) && magic == ASK_MAGIC &&
	    xdr_string(xdr, &name, MESH_NAME_MAX - 1) &&
	    xdr_uint64_t(xdr, &ask->from));
}

/**
 * mesh_resend_encode() - write a question for entries.
 * @ask: the question
 * @out: where to
 * @size: room there
 *
 * Return: its length, or 0 where it does not fit.
 */
size_t
mesh_resend_encode(const struct mesh_resend *ask, char *out, size_t size)
{
	size_t length = 0;
	XDR xdr;

	xdrmem_create(&xdr, out, (u_int)size, XDR_ENCODE);
	if (xdr_ask(&xdr, (struct mesh_resend *)ask))
		length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (length);
}

/**
 * mesh_resend_decode() - read a question for entries.
 * @ask: filled in
 * @in: the datagram
 * @length: its length
 *
 * Return: false where it is another datagram.
 */
bool
mesh_resend_decode(struct mesh_resend *ask, char *in, size_t length)
{
	bool ok;
	XDR xdr;

	memset(ask, 0, sizeof *ask);
	xdrmem_create(&xdr, in, (u_int)length, XDR_DECODE);
	ok = xdr_ask(&xdr, ask);
	xdr_destroy(&xdr);
	return (ok);
}

static bool_t
xdr_head(XDR *xdr, struct mesh_entries *entries)
{
	uint32_t magic = ENTRIES_MAGIC;
	char *name = entries->name;

	return (xdr_uint32_t(xdr, &magic) && magic == ENTRIES_MAGIC &&
	    xdr_string(xdr, &name, MESH_NAME_MAX - 1) &&
	    xdr_uint64_t(xdr, &entries->from) &&
	    xdr_uint64_t(xdr, &entries->end) &&
	    xdr_uint32_t(xdr, &entries->returned_ms));
}

static bool_t
xdr_record(XDR *xdr, struct store_record *record)
{
	u_int length = (u_int)record->length;

	if (!xdr_string(xdr, &record->key, MESH_NAME_MAX) ||
	    !xdr_uint64_t(xdr, &record->offset) ||
	    !xdr_bytes(xdr, (char **)&record->value, &length, MESH_VALUE_MAX))
		return (FALSE);
	record->length = length;
	return (TRUE);
}

/**
 * mesh_entries_encode() - write a datagram.
 * @entries: what to say
 * @first: index of the first record
 * @n: how many
 * @out: where to
 * @size: room there
 *
 * Return: its length, or 0 where it does not fit.
 */
size_t
mesh_entries_encode(const struct mesh_entries *entries, guint first, guint n,
    char *out, size_t size)
{
	size_t length = 0;
	uint32_t count = n;
	bool_t ok;
	XDR xdr;

	xdrmem_create(&xdr, out, (u_int)size, XDR_ENCODE);
	ok = xdr_head(&xdr, (struct mesh_entries *)entries) &&
	    xdr_uint32_t(&xdr, &count);
	for (guint i = first; ok && i < first + n; i++)
		ok = xdr_record(&xdr,
		    &g_array_index(entries->records, struct store_record, i));
	if (ok)
		length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (length);
}

/* Reads one record; its memory is GLib's, not the decoder's. */
static bool
decode_record(XDR *xdr, GArray *records)
{
	struct store_record raw = { 0 }, record = { 0 };
	bool ok = xdr_record(xdr, &raw);

	if (ok) {
		record.key = g_strdup(raw.key);
		record.offset = raw.offset;
		record.length = raw.length;
		if (raw.length > 0)
			record.value = g_memdup2(raw.value, raw.length);
		g_array_append_val(records, record);
	}
	free(raw.key);
	free(raw.value);
	return (ok);
}

/**
 * mesh_entries_decode() - read a datagram.
 * @entries: filled in; free its records also where this fails
 * @in: the datagram
 * @length: its length
 */
bool
mesh_entries_decode(struct mesh_entries *entries, char *in, size_t length)
{
	uint32_t count = 0;
	bool ok;
	XDR xdr;

	memset(entries, 0, sizeof *entries);
	entries->records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(entries->records, store_record_clear);
	xdrmem_create(&xdr, in, (u_int)length, XDR_DECODE);
	ok = xdr_head(&xdr, entries) && xdr_uint32_t(&xdr, &count) &&
	    count <= MESH_RECORDS_MAX && entries->from <= entries->end;
	for (uint32_t i = 0; ok && i < count; i++)
		ok = decode_record(&xdr, entries->records);
	xdr_destroy(&xdr);
	return (ok);
}
