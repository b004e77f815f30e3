/* XDR encoding of the envelopes in which a relay sends to its cell. */
#include <rpc/rpc.h>
#include <string.h>

#include "mesh-envelope.h"

/* First word of each envelope: "BLV" and the version of the format. */
#define ENVELOPE_MAGIC 0x424c5601u

/* Encodes or decodes a member, whose port is sent as a 32-bit number. */
static bool_t
xdr_target(XDR *xdr, struct mesh_target *target)
{
	uint32_t port = target->port;

	if (!xdr_uint32_t(xdr, &target->ip) || !xdr_uint32_t(xdr, &port) ||
	    port > UINT16_MAX)
		return (FALSE);
	target->port = (uint16_t)port;
	return (xdr_uint32_t(xdr, &target->ack));
}

static bool_t
xdr_envelope(XDR *xdr, struct mesh_envelope *envelope)
{
	uint32_t magic = ENVELOPE_MAGIC;

	if (!xdr_uint32_t(xdr, &magic) || magic != ENVELOPE_MAGIC ||
	    !xdr_target(xdr, &envelope->origin) ||
	    !xdr_target(xdr, &envelope->self) ||
	    !xdr_uint32_t(xdr, &envelope->n_targets) ||
	    envelope->n_targets > MESH_TARGETS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < envelope->n_targets; i++) {
		if (!xdr_target(xdr, &envelope->targets[i]))
			return (FALSE);
	}
	return (TRUE);
}

/**
 * mesh_envelope_encode() - put a datagram into an envelope.
 * @envelope: the envelope
 * @bytes: the datagram
 * @length: its length
 * @out: output buffer
 * @size: size of @out
 *
 * Return: length of both, or 0 if they don't fit.
 */
size_t
mesh_envelope_encode(const struct mesh_envelope *envelope, const char *bytes,
    size_t length, char *out, size_t size)
{
	size_t at = 0;
	XDR xdr;

	xdrmem_create(&xdr, out, (u_int)size, XDR_ENCODE);
	if (xdr_envelope(&xdr, (struct mesh_envelope *)envelope))
		at = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	if (at == 0 || length > size - at)
		return (0);
	memcpy(out + at, bytes, length);
	return (at + length);
}

/**
 * mesh_envelope_decode() - decode an envelope.
 * @envelope: filled in
 * @in: the envelope with its datagram
 * @length: length of both
 * @at: set to the position of the datagram
 *
 * Return: false if it is no envelope.
 */
bool
mesh_envelope_decode(struct mesh_envelope *envelope, char *in, size_t length,
    size_t *at)
{
	bool ok;
	XDR xdr;

	xdrmem_create(&xdr, in, (u_int)length, XDR_DECODE);
	ok = xdr_envelope(&xdr, envelope);
	*at = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (ok);
}
