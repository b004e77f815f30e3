/* What daemons tell each other in one datagram, encoded by XDR. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "mesh-message.h"

/* First word of each datagram: "BLM" and the version of the format. */
#define MESH_MAGIC 0x424c4d07u
/* Places of a load's figures in the word that holds them. */
#define READING_SHIFT 8
#define INFLIGHT_SHIFT 22
#define HEARD_MASK 0xffu
#define READING_MASK 0x3fffu
/* Place of the sign in the word that holds it beside an age in ms. */
#define SIGN_SHIFT 30
#define AGE_MASK 0x3fffffffu
/* Place of a member's flag in the word that holds it. */
#define NEWEST_FLAG 0x10000u

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
xdr_placer(XDR *xdr, struct mesh_placer *placer)
{
	return (xdr_uint32_t(xdr, &placer->name_hash) &&
	    xdr_int64_t(xdr, &placer->term) &&
	    xdr_uint32_t(xdr, &placer->age_ms) &&
	    xdr_flag(xdr, &placer->can_place));
}

static bool_t
xdr_relay(XDR *xdr, struct mesh_relay *relay)
{
	uint32_t port = relay->port;

	if (!xdr_name(xdr, relay->name) || !xdr_uint32_t(xdr, &relay->ip) ||
	    !xdr_uint32_t(xdr, &port) || port > UINT16_MAX)
		return (FALSE);
	relay->port = (uint16_t)port;
	return (xdr_uint32_t(xdr, &relay->capacity));
}

/* A load's figures in one word: a datagram of many stays within a packet. */
static uint32_t
load_pack(const struct mesh_load *load)
{
	uint32_t heard = MIN(load->idle_ms, MESH_IDLE_MAX_MS);
	uint32_t reading = MIN(load->pending, MESH_PENDING_MAX);
	uint32_t inflight = MIN(load->inflight, MESH_INFLIGHT_MAX);

	return (heard / MESH_IDLE_STEP_MS |
	    reading / MESH_PENDING_STEP << READING_SHIFT |
	    inflight << INFLIGHT_SHIFT);
}

static void
load_unpack(struct mesh_load *load, uint32_t word)
{
	load->idle_ms = (word & HEARD_MASK) * MESH_IDLE_STEP_MS;
	load->pending =
	    (word >> READING_SHIFT & READING_MASK) * MESH_PENDING_STEP;
	load->inflight = word >> INFLIGHT_SHIFT;
}

static bool_t
xdr_load(XDR *xdr, struct mesh_load *load)
{
	uint32_t word = load_pack(load);

	if (!xdr_uint32_t(xdr, &load->id_hash) || !xdr_uint32_t(xdr, &word))
		return (FALSE);
	load_unpack(load, word);
	return (TRUE);
}

static bool_t
xdr_loads(XDR *xdr, struct mesh_message *news)
{
	if (!xdr_uint32_t(xdr, &news->n_loads) ||
	    news->n_loads > MESH_LOADS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < news->n_loads; i++) {
		struct mesh_load copy = news->loads[i];

		if (!xdr_load(xdr, &copy))
			return (FALSE);
		if (xdr->x_op == XDR_DECODE)
			news->loads[i] = copy;
	}
	return (TRUE);
}

static bool_t
xdr_avoid(XDR *xdr, struct mesh_message *news)
{
	if (!xdr_uint32_t(xdr, &news->n_avoid) ||
	    news->n_avoid > MESH_AVOID_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < news->n_avoid; i++) {
		if (!xdr_uint32_t(xdr, &news->avoid[i].id_hash) ||
		    !xdr_uint32_t(xdr, &news->avoid[i].age_ms))
			return (FALSE);
	}
	return (TRUE);
}

static bool_t
xdr_limit(XDR *xdr, struct mesh_limit *limit)
{
	return (xdr_uint32_t(xdr, &limit->id_hash) &&
	    xdr_uint32_t(xdr, &limit->milli_per_s) &&
	    xdr_uint32_t(xdr, &limit->age_ms) &&
	    xdr_uint32_t(xdr, &limit->users) &&
	    xdr_uint32_t(xdr, &limit->each_micro_per_s));
}

static bool_t
xdr_limits(XDR *xdr, struct mesh_message *news)
{
	if (!xdr_uint32_t(xdr, &news->n_limits) ||
	    news->n_limits > MESH_LIMITS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < news->n_limits; i++) {
		if (!xdr_limit(xdr, &news->limits[i]))
			return (FALSE);
	}
	return (TRUE);
}

/* An age and a sign in one word: ages are told for a day at most. */
static bool_t
xdr_age_sign(XDR *xdr, uint32_t *age_ms, enum mesh_poison_kind *sign)
{
	uint32_t word = MIN(*age_ms, AGE_MASK) | (uint32_t)*sign << SIGN_SHIFT;

	if (!xdr_uint32_t(xdr, &word) || word >> SIGN_SHIFT == 0)
		return (FALSE);
	*age_ms = word & AGE_MASK;
	*sign = (enum mesh_poison_kind)(word >> SIGN_SHIFT);
	return (TRUE);
}

static bool_t
xdr_poison(XDR *xdr, struct mesh_poison *poison)
{
	return (xdr_uint64_t(xdr, &poison->fingerprint) &&
	    xdr_uint32_t(xdr, &poison->id_hash) &&
	    xdr_uint32_t(xdr, &poison->started) &&
	    xdr_age_sign(xdr, &poison->age_ms, &poison->kind));
}

static bool_t
xdr_poisons(XDR *xdr, struct mesh_message *news)
{
	if (!xdr_uint32_t(xdr, &news->n_poison) ||
	    news->n_poison > MESH_POISON_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < news->n_poison; i++) {
		if (!xdr_poison(xdr, &news->poison[i]))
			return (FALSE);
	}
	return (TRUE);
}

static bool_t
xdr_member(XDR *xdr, struct mesh_member *member)
{
	uint32_t word =
	    member->sequence | (member->config_current ? NEWEST_FLAG : 0);

	if (!xdr_uint32_t(xdr, &member->name_hash) || !xdr_uint32_t(xdr, &word))
		return (FALSE);
	member->sequence = (uint16_t)word;
	member->config_current = (word & NEWEST_FLAG) != 0;
	return (TRUE);
}

static bool_t
xdr_members(XDR *xdr, struct mesh_message *news)
{
	if (!xdr_uint32_t(xdr, &news->n_members) ||
	    news->n_members > MESH_MEMBERS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < news->n_members; i++) {
		if (!xdr_member(xdr, &news->members[i]))
			return (FALSE);
	}
	return (TRUE);
}

static bool_t
xdr_kind(XDR *xdr, enum mesh_kind *kind)
{
	uint32_t value = *kind;

	if (!xdr_uint32_t(xdr, &value) || value < MESH_REPORT ||
	    value > MESH_FLEET_SUMMARY)
		return (FALSE);
	*kind = (enum mesh_kind)value;
	return (TRUE);
}

/* Encodes or decodes, as the XDR stream says. */
static bool_t
xdr_news(XDR *xdr, struct mesh_message *news)
{
	uint32_t magic = MESH_MAGIC;

	return (xdr_uint32_t(xdr, &magic) && magic == MESH_MAGIC &&
	    xdr_kind(xdr, &news->kind) && xdr_name(xdr, news->name) &&
	    xdr_name(xdr, news->domain) && xdr_uint32_t(xdr, &news->capacity) &&
	    xdr_uint64_t(xdr, &news->incarnation) &&
	    xdr_uint64_t(xdr, &news->sequence) &&
	    xdr_uint64_t(xdr, &news->ping) && xdr_uint64_t(xdr, &news->pong) &&
	    xdr_self(xdr, &news->self) && xdr_placer(xdr, &news->placer) &&
	    xdr_relay(xdr, &news->relay) &&
	    xdr_int64_t(xdr, &news->config_version) &&
	    xdr_uint64_t(xdr, &news->config_offset) &&
	    xdr_uint32_t(xdr, &news->config_age_ms) &&
	    xdr_uint64_t(xdr, &news->entries_end) &&
	    xdr_uint32_t(xdr, &news->n_alive) && xdr_loads(xdr, news) &&
	    xdr_avoid(xdr, news) && xdr_limits(xdr, news) &&
	    xdr_poisons(xdr, news) && xdr_members(xdr, news));
}

/**
 * mesh_message_clear() - say nothing yet.
 * @news: the datagram; what its counts make unread is left as it is
 */
void
mesh_message_clear(struct mesh_message *news)
{
	memset(news, 0, offsetof(struct mesh_message, loads));
}

/**
 * mesh_message_encode() - write a datagram.
 * @news: what to say
 * @out: where to
 * @size: room there
 *
 * Return: its length, or 0 where it does not fit.
 */
size_t
mesh_message_encode(const struct mesh_message *news, char *out, size_t size)
{
	XDR xdr;
	size_t length = 0;

	xdrmem_create(&xdr, out, (u_int)size, XDR_ENCODE);
	if (xdr_news(&xdr, (struct mesh_message *)news))
		length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (length);
}

/**
 * mesh_message_decode() - read a datagram.
 * @news: filled in
 * @in: the datagram
 * @length: its length
 *
 * Return: false where it is of another format, cut short or too long.
 */
bool
mesh_message_decode(struct mesh_message *news, char *in, size_t length)
{
	bool ok;
	XDR xdr;

	mesh_message_clear(news);
	xdrmem_create(&xdr, in, (u_int)length, XDR_DECODE);
	ok = xdr_news(&xdr, news) && xdr_getpos(&xdr) == length;
	xdr_destroy(&xdr);
	return (ok && news->name[0] != '\0');
}
