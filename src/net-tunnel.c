/* XDR encoding of the messages of a tunnel, and decoding of its fragments. */
#include <arpa/inet.h>
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "net-address.h"
#include "net-tunnel.h"

/* First word of a request and of a reply: "BLT" and the version of the
 * format. */
#define TUNNEL_MAGIC 0x424c5401u
/* Set in the header of the last fragment. */
#define FRAGMENT_LAST 0x80000000u

static const char *const result_names[] = { "open", "unreached", "refused",
	"declined", "busy", "draining", "no_reply" };

/**
 * tunnel_result_name() - name of a result, for logs.
 * @result: the result
 */
const char *
tunnel_result_name(enum tunnel_result result)
{
	return (result_names[result]);
}

static bool_t
xdr_request(XDR *xdr, struct tunnel_request *request)
{
	uint32_t magic = TUNNEL_MAGIC;
	uint32_t ip = request->peer.sin_addr.s_addr;
	uint32_t port = ntohs(request->peer.sin_port);
	uint32_t kind = request->kind;

	if (!xdr_uint32_t(xdr, &magic) || magic != TUNNEL_MAGIC ||
	    !xdr_uint32_t(xdr, &kind) || kind < TUNNEL_CONNECT ||
	    kind > TUNNEL_LIST || !xdr_uint32_t(xdr, &request->ms) ||
	    !xdr_uint32_t(xdr, &ip) || !xdr_uint32_t(xdr, &port) ||
	    port > UINT16_MAX || !xdr_uint64_t(xdr, &request->credential) ||
	    !xdr_uint32_t(xdr, &request->name_hash))
		return (FALSE);
	request->kind = (enum tunnel_request_kind)kind;
	request->peer = net_address_make(ip, (uint16_t)port);
	return (TRUE);
}

/**
 * tunnel_request_encode() - encode a request.
 * @request: the request
 * @out: output buffer
 */
void
tunnel_request_encode(const struct tunnel_request *request,
    char out[TUNNEL_REQUEST_BYTES])
{
	struct tunnel_request copy = *request;
	XDR xdr;

	xdrmem_create(&xdr, out, TUNNEL_REQUEST_BYTES, XDR_ENCODE);
	xdr_request(&xdr, &copy);
	xdr_destroy(&xdr);
}

/**
 * tunnel_request_decode() - decode a request.
 * @request: filled in
 * @in: the encoded request
 *
 * Return: false if it is none.
 */
bool
tunnel_request_decode(struct tunnel_request *request,
    char in[TUNNEL_REQUEST_BYTES])
{
	bool ok;
	XDR xdr;

	memset(request, 0, sizeof *request);
	xdrmem_create(&xdr, in, TUNNEL_REQUEST_BYTES, XDR_DECODE);
	ok = xdr_request(&xdr, request);
	xdr_destroy(&xdr);
	return (ok);
}

/**
 * tunnel_reply_encode() - encode a reply.
 * @result: the outcome
 * @out: output buffer
 */
void
tunnel_reply_encode(enum tunnel_result result, char out[TUNNEL_REPLY_BYTES])
{
	uint32_t magic = TUNNEL_MAGIC, code = result;
	XDR xdr;

	xdrmem_create(&xdr, out, TUNNEL_REPLY_BYTES, XDR_ENCODE);
	xdr_uint32_t(&xdr, &magic);
	xdr_uint32_t(&xdr, &code);
	xdr_destroy(&xdr);
}

/**
 * tunnel_reply_decode() - decode a reply.
 * @result: set to the outcome
 * @in: the encoded reply
 *
 * Return: false if it is none.
 */
bool
tunnel_reply_decode(enum tunnel_result *result, char in[TUNNEL_REPLY_BYTES])
{
	uint32_t magic = 0, code = 0;
	bool ok;
	XDR xdr;

	xdrmem_create(&xdr, in, TUNNEL_REPLY_BYTES, XDR_DECODE);
	ok = xdr_uint32_t(&xdr, &magic) && xdr_uint32_t(&xdr, &code);
	xdr_destroy(&xdr);
	*result = (enum tunnel_result)code;
	return (ok && magic == TUNNEL_MAGIC && code < TUNNEL_NO_REPLY);
}

static bool_t
xdr_gateway(XDR *xdr, struct tunnel_gateway *gateway)
{
	uint32_t ip = gateway->addr.sin_addr.s_addr;
	uint32_t port = ntohs(gateway->addr.sin_port);

	if (!xdr_uint32_t(xdr, &ip) || !xdr_uint32_t(xdr, &port) ||
	    port > UINT16_MAX || !xdr_uint64_t(xdr, &gateway->incarnation) ||
	    !xdr_uint32_t(xdr, &gateway->name_hash))
		return (FALSE);
	gateway->addr = net_address_make(ip, (uint16_t)port);
	return (TRUE);
}

/**
 * tunnel_list_encode() - encode a list of gateways.
 * @list: the gateways
 * @n: number of these, TUNNEL_LIST_MAX at most
 * @out: output buffer
 *
 * Return: length of the encoded list.
 */
size_t
tunnel_list_encode(const struct tunnel_gateway *list, unsigned n,
    char out[TUNNEL_LIST_BYTES])
{
	size_t length;
	XDR xdr;

	xdrmem_create(&xdr, out, TUNNEL_LIST_BYTES, XDR_ENCODE);
	for (unsigned i = 0; i < n; i++) {
		struct tunnel_gateway copy = list[i];

		xdr_gateway(&xdr, &copy);
	}
	length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (length);
}

/**
 * tunnel_list_decode() - decode a list of gateways.
 * @list: filled in
 * @in: the encoded list
 * @length: its length
 *
 * Return: number of gateways.
 */
unsigned
tunnel_list_decode(struct tunnel_gateway list[TUNNEL_LIST_MAX], char *in,
    size_t length)
{
	unsigned n = 0;
	XDR xdr;

	memset(list, 0, TUNNEL_LIST_MAX * sizeof *list);
	xdrmem_create(&xdr, in, (u_int)length, XDR_DECODE);
	while (n < TUNNEL_LIST_MAX && xdr_getpos(&xdr) < length &&
	    xdr_gateway(&xdr, &list[n]))
		n++;
	xdr_destroy(&xdr);
	return (n);
}

/**
 * tunnel_header_encode() - encode the header of a fragment.
 * @length: bytes of the fragment
 * @last: it is the last one
 * @out: output buffer
 */
void
tunnel_header_encode(uint32_t length, bool last, char out[TUNNEL_HEADER_BYTES])
{
	uint32_t word = htonl(length | (last ? FRAGMENT_LAST : 0));

	memcpy(out, &word, TUNNEL_HEADER_BYTES);
}

/* Reads bytes of a fragment's header. Returns how many were used. */
static size_t
decode_header(struct tunnel_decoder *d, const char *in, size_t length)
{
	size_t n = MIN(length, TUNNEL_HEADER_BYTES - d->n_header);
	uint32_t word;

	memcpy(d->header + d->n_header, in, n);
	d->n_header += (unsigned)n;
	if (d->n_header < TUNNEL_HEADER_BYTES)
		return (n);
	d->n_header = 0;
	memcpy(&word, d->header, sizeof word);
	word = ntohl(word);
	d->last = (word & FRAGMENT_LAST) != 0;
	d->left = word & ~FRAGMENT_LAST;
	d->declined = d->declined || word == 0;
	return (n);
}

/**
 * tunnel_decode() - decode the next bytes that the gateway sent.
 * @d: the decoder
 * @in: the bytes
 * @length: number of bytes; at least 1
 * @data: set to bytes of the peer
 * @n_data: number of these; may be 0
 *
 * Return: how many bytes were used.
 */
size_t
tunnel_decode(struct tunnel_decoder *d, const char *in, size_t length,
    const char **data, size_t *n_data)
{
	*data = in;
	*n_data = 0;
	if (d->left == 0)
		return (decode_header(d, in, length));
	*n_data = MIN(length, d->left);
	d->left -= (uint32_t)*n_data;
	return (*n_data);
}

/**
 * tunnel_decoder_ended() - whether the last fragment was read.
 * @d: the decoder
 */
bool
tunnel_decoder_ended(const struct tunnel_decoder *d)
{
	return (d->last && d->left == 0);
}
