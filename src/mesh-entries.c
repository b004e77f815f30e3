/* XDR encoding of the datagrams that distribute entries of endpoints. */
#include <rpc/rpc.h>
#include <string.h>

#include "mesh-entries.h"
#include "store-ops.h"

/* First word of each datagram of entries: "BLE" and the version of the format.
 */
#define ENTRIES_MAGIC 0x424c4501u

/* First word of each resend request: "BLA" and the version of the format. */
#define RESEND_MAGIC 0x424c4101u

static bool_t
xdr_resend(XDR *xdr, struct mesh_resend *resend)
{
	uint32_t magic = RESEND_MAGIC;
	char *name = resend->name;

	return (xdr_uint32_t(xdr, &magic) && magic == RESEND_MAGIC &&
	    xdr_string(xdr, &name, MESH_NAME_MAX - 1) &&
	    xdr_uint64_t(xdr, &resend->from));
}

/**
 * mesh_resend_encode() - encode a resend request.
 * @resend: the request
 * @out: output buffer
 * @size: size of @out
 *
 * Return: length of the encoded request, or 0 if it does not fit.
 */
size_t
mesh_resend_encode(const struct mesh_resend *resend, char *out, size_t size)
{
	size_t length = 0;
	XDR xdr;

	xdrmem_create(&xdr, out, (u_int)size, XDR_ENCODE);
	if (xdr_resend(&xdr, (struct mesh_resend *)resend) &&
	    xdr_uint64_t(&xdr, (uint64_t *)&resend->end))
		length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (length);
}

/**
 * mesh_resend_decode() - decode a resend request.
 * @resend: filled in
 * @in: the datagram
 * @length: its length
 *
 * Return: false if the datagram is not a resend request.
 */
bool
mesh_resend_decode(struct mesh_resend *resend, char *in, size_t length)
{
	bool ok;
	XDR xdr;

	memset(resend, 0, sizeof *resend);
	xdrmem_create(&xdr, in, (u_int)length, XDR_DECODE);
	ok = xdr_resend(&xdr, resend);
	/* Earlier versions send no end. */
	if (ok && !xdr_uint64_t(&xdr, &resend->end))
		resend->end = UINT64_MAX;
	xdr_destroy(&xdr);
	return (ok);
}

static bool_t
xdr_header(XDR *xdr, struct mesh_entries *entries)
{
	uint32_t magic = ENTRIES_MAGIC;
	char *name = entries->name;

	return (xdr_uint32_t(xdr, &magic) && magic == ENTRIES_MAGIC &&
	    xdr_string(xdr, &name, MESH_NAME_MAX - 1) &&
	    xdr_uint64_t(xdr, &entries->from) &&
	    xdr_uint64_t(xdr, &entries->end) &&
	    xdr_uint32_t(xdr, &entries->regained_age_ms));
}

/* Follows the records; earlier versions don't send it, and ignore it. */
static bool_t
xdr_stamp(XDR *xdr, struct mesh_stamp *stamp)
{
	return (xdr_uint64_t(xdr, &stamp->incarnation) &&
	    xdr_uint64_t(xdr, &stamp->sent_ms) &&
	    xdr_uint32_t(xdr, &stamp->age_ms));
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
 * mesh_entries_encode() - encode a range of changed entries.
 * @entries: the changed entries
 * @first: index of the first record to encode
 * @n: number of records to encode
 * @out: output buffer
 * @size: size of @out
 *
 * Return: length of the encoding, or 0 if it does not fit.
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
	ok = xdr_header(&xdr, (struct mesh_entries *)entries) &&
	    xdr_uint32_t(&xdr, &count);
	for (guint i = first; ok && i < first + n; i++)
		ok = xdr_record(&xdr,
		    &g_array_index(entries->records, struct store_record, i));
	if (ok && xdr_stamp(&xdr, (struct mesh_stamp *)&entries->stamp))
		length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (length);
}

/* Decodes one record. XDR allocates with malloc(); the copy in @records is
 * allocated by GLib. */
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
 * mesh_entries_decode() - decode changed entries.
 * @entries: filled in; its records must be freed even if this fails
 * @in: the encoding
 * @length: its length
 *
 * Return: false if the encoding is malformed.
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
	ok = xdr_header(&xdr, entries) && xdr_uint32_t(&xdr, &count) &&
	    count <= MESH_RECORDS_MAX && entries->from <= entries->end;
	for (uint32_t i = 0; ok && i < count; i++)
		ok = decode_record(&xdr, entries->records);
	if (ok && !xdr_stamp(&xdr, &entries->stamp))
		memset(&entries->stamp, 0, sizeof entries->stamp);
	xdr_destroy(&xdr);
	return (ok);
}
