/* What daemons tell each other in one datagram, encoded by XDR. */
#include <rpc/rpc.h>
#include <string.h>

#include "mesh-news.h"

/* First word of each datagram: "BLM" and the version of the format. */
#define MESH_MAGIC 0x424c4d04u

static bool_t
xdr_flag(XDR *xdr, bool *flag)
{
	bool_t value = *flag;

	if (!xdr_bool(xdr, &value))
		return (FALSE);
	*flag = value;
	return (TRUE);
}

static bool_t
xdr_name(XDR *xdr, char *name)
{
	return (xdr_string(xdr, &name, MESH_NAME_MAX - 1));
}

static bool_t
xdr_self(XDR *xdr, struct mesh_self *self)
{
	return (xdr_flag(xdr, &self->placer) && xdr_flag(xdr, &self->leaving) &&
	    xdr_flag(xdr, &self->store_ok) && xdr_flag(xdr, &self->serving) &&
	    xdr_int64_t(xdr, &self->term));
}

static bool_t
xdr_load(XDR *xdr, struct mesh_load *load)
{
	return (xdr_uint32_t(xdr, &load->key) &&
	    xdr_uint32_t(xdr, &load->inflight) &&
	    xdr_uint32_t(xdr, &load->reading) &&
	    xdr_uint32_t(xdr, &load->heard_ms));
}

static bool_t
xdr_loads(XDR *xdr, struct mesh_news *news)
{
	if (!xdr_uint32_t(xdr, &news->n_loads) ||
	    news->n_loads > MESH_LOADS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < news->n_loads; i++) {
		if (!xdr_load(xdr, &news->loads[i]))
			return (FALSE);
	}
	return (TRUE);
}

static bool_t
xdr_avoid(XDR *xdr, struct mesh_news *news)
{
	if (!xdr_uint32_t(xdr, &news->n_avoid) ||
	    news->n_avoid > MESH_AVOID_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < news->n_avoid; i++) {
		if (!xdr_uint32_t(xdr, &news->avoid[i]))
			return (FALSE);
	}
	return (TRUE);
}

/* Encodes or decodes, as the XDR stream says. */
static bool_t
xdr_news(XDR *xdr, struct mesh_news *news)
{
	uint32_t magic = MESH_MAGIC;

	return (xdr_uint32_t(xdr, &magic) && magic == MESH_MAGIC &&
	    xdr_name(xdr, news->name) && xdr_name(xdr, news->domain) &&
	    xdr_uint64_t(xdr, &news->life) &&
	    xdr_uint64_t(xdr, &news->sequence) &&
	    xdr_uint64_t(xdr, &news->ping) && xdr_uint64_t(xdr, &news->pong) &&
	    xdr_self(xdr, &news->self) &&
	    xdr_int64_t(xdr, &news->config_version) &&
	    xdr_uint64_t(xdr, &news->config_offset) &&
	    xdr_uint32_t(xdr, &news->config_age_ms) && xdr_loads(xdr, news) &&
	    xdr_avoid(xdr, news));
}

/**
 * mesh_news_encode() - write a datagram.
 * @news: what to say
 * @out: where to
 * @size: room there
 *
 * Return: its length, or 0 where it does not fit.
 */
size_t
mesh_news_encode(const struct mesh_news *news, char *out, size_t size)
{
	XDR xdr;
	size_t length = 0;

	xdrmem_create(&xdr, out, (u_int)size, XDR_ENCODE);
	if (xdr_news(&xdr, (struct mesh_news *)news))
		length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (length);
}

/**
 * mesh_news_decode() - read a datagram.
 * @news: filled in
 * @in: the datagram
 * @length: its length
 */
bool
mesh_news_decode(struct mesh_news *news, char *in, size_t length)
{
	bool ok;
	XDR xdr;

	memset(news, 0, offsetof(struct mesh_news, loads));
	xdrmem_create(&xdr, in, (u_int)length, XDR_DECODE);
	ok = xdr_news(&xdr, news);
	xdr_destroy(&xdr);
	return (ok && news->name[0] != '\0');
}
