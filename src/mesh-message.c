/* XDR encoding of the state that daemons send each other. */
#include <glib.h>
#include <rpc/rpc.h>
#include <string.h>

#include "mesh-message-sums.h"

/* First word of each datagram: "BLM" and the version of the format, without
 * sums or with them at the end. */
#define MESH_MAGIC 0x424c4d08u
#define MESH_MAGIC_SUMS 0x424c4d09u
/* Bit positions of a load's values in the word that holds them. */
#define PENDING_SHIFT 8
#define INFLIGHT_SHIFT 22
#define IDLE_MASK 0xffu
#define PENDING_MASK 0x3fffu
/* Bit position of the kind in the word that holds it and an age in ms. */
#define KIND_SHIFT 30
/* A daemon that does not know this bit takes it for an age of six days, and so
 * ignores parts of prompts. */
#define PART_BIT (1u << 29)
#define AGE_MASK 0x1fffffffu
/* Bits of what a daemon reports about itself. */
#define SELF_PLACER 0x1u
#define SELF_DRAINING 0x2u
#define SELF_STORE_OK 0x4u
#define SELF_SERVED 0x8u
#define SELF_SUMS 0x10u
/* Flags of members in one word. */
#define FLAGS_PER_WORD 32u

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
	uint32_t word = (self->placer ? SELF_PLACER : 0) |
	    (self->draining ? SELF_DRAINING : 0) |
	    (self->store_ok ? SELF_STORE_OK : 0) |
	    (self->served ? SELF_SERVED : 0) | (self->sums ? SELF_SUMS : 0);

	if (!xdr_uint32_t(xdr, &word))
		return (FALSE);
	self->placer = (word & SELF_PLACER) != 0;
	self->draining = (word & SELF_DRAINING) != 0;
	self->store_ok = (word & SELF_STORE_OK) != 0;
	self->served = (word & SELF_SERVED) != 0;
	self->sums = (word & SELF_SUMS) != 0;
	return (xdr_int64_t(xdr, &self->term));
}

static bool_t
xdr_placer(XDR *xdr, struct mesh_placer *placer)
{
	return (xdr_uint32_t(xdr, &placer->name_hash) &&
	    xdr_int64_t(xdr, &placer->term) &&
	    xdr_uint32_t(xdr, &placer->age_ms) &&
	    xdr_flag(xdr, &placer->can_place));
}

/* Encodes or decodes an address, whose port is sent as a 32-bit number. */
static bool_t
xdr_address(XDR *xdr, struct mesh_address *address)
{
	uint32_t port = address->port;

	if (!xdr_name(xdr, address->name) || !xdr_uint32_t(xdr, &address->ip) ||
	    !xdr_uint32_t(xdr, &port) || port > UINT16_MAX)
		return (FALSE);
	address->port = (uint16_t)port;
	return (xdr_uint32_t(xdr, &address->capacity));
}

static bool_t
xdr_addresses(XDR *xdr, struct mesh_message *msg)
{
	if (!xdr_uint32_t(xdr, &msg->n_addresses) ||
	    msg->n_addresses > MESH_ADDRESSES_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < msg->n_addresses; i++) {
		if (!xdr_address(xdr, &msg->addresses[i]) ||
		    !xdr_name(xdr, msg->addresses[i].domain))
			return (FALSE);
	}
	return (TRUE);
}

/* Packs a load's values into one word, so that a datagram with many loads stays
 * within a packet. */
static uint32_t
load_pack(const struct mesh_load *load)
{
	uint32_t idle = MIN(load->idle_ms, MESH_IDLE_MAX_MS);
	uint32_t pending = MIN(load->pending, MESH_PENDING_MAX);
	uint32_t inflight = MIN(load->inflight, MESH_INFLIGHT_MAX);

	return (idle / MESH_IDLE_STEP_MS |
	    pending / MESH_PENDING_STEP << PENDING_SHIFT |
	    inflight << INFLIGHT_SHIFT);
}

static void
load_unpack(struct mesh_load *load, uint32_t word)
{
	load->idle_ms = (word & IDLE_MASK) * MESH_IDLE_STEP_MS;
	load->pending =
	    (word >> PENDING_SHIFT & PENDING_MASK) * MESH_PENDING_STEP;
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
xdr_loads(XDR *xdr, struct mesh_message *msg)
{
	if (!xdr_uint32_t(xdr, &msg->n_loads) || msg->n_loads > MESH_LOADS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < msg->n_loads; i++) {
		struct mesh_load copy = msg->loads[i];

		if (!xdr_load(xdr, &copy))
			return (FALSE);
		if (xdr->x_op == XDR_DECODE)
			msg->loads[i] = copy;
	}
	return (TRUE);
}

static bool_t
xdr_avoid(XDR *xdr, struct mesh_message *msg)
{
	if (!xdr_uint32_t(xdr, &msg->n_avoid) || msg->n_avoid > MESH_AVOID_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < msg->n_avoid; i++) {
		if (!xdr_uint32_t(xdr, &msg->avoid[i].id_hash) ||
		    !xdr_uint32_t(xdr, &msg->avoid[i].age_ms))
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
xdr_limits(XDR *xdr, struct mesh_message *msg)
{
	if (!xdr_uint32_t(xdr, &msg->n_limits) ||
	    msg->n_limits > MESH_LIMITS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < msg->n_limits; i++) {
		if (!xdr_limit(xdr, &msg->limits[i]))
			return (FALSE);
	}
	return (TRUE);
}

/* Encodes or decodes the age and the kind in one word: ages are sent for a day
 * at most. */
static bool_t
xdr_age_kind(XDR *xdr, struct mesh_poison *poison)
{
	uint32_t word = MIN(poison->age_ms, AGE_MASK) |
	    (poison->part ? PART_BIT : 0) |
	    (uint32_t)poison->kind << KIND_SHIFT;

	if (!xdr_uint32_t(xdr, &word) || word >> KIND_SHIFT == 0)
		return (FALSE);
	poison->age_ms = word & AGE_MASK;
	poison->part = (word & PART_BIT) != 0;
	poison->kind = (enum mesh_poison_kind)(word >> KIND_SHIFT);
	return (TRUE);
}

static bool_t
xdr_poison(XDR *xdr, struct mesh_poison *poison)
{
	return (xdr_uint64_t(xdr, &poison->fingerprint) &&
	    xdr_uint32_t(xdr, &poison->id_hash) &&
	    xdr_uint32_t(xdr, &poison->started) && xdr_age_kind(xdr, poison));
}

static bool_t
xdr_poisons(XDR *xdr, struct mesh_message *msg)
{
	if (!xdr_uint32_t(xdr, &msg->n_poison) ||
	    msg->n_poison > MESH_POISON_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < msg->n_poison; i++) {
		if (!xdr_poison(xdr, &msg->poison[i]))
			return (FALSE);
	}
	return (TRUE);
}

/* Encodes or decodes the flags of up to FLAGS_PER_WORD members in one word. */
static bool_t
xdr_member_flags(XDR *xdr, struct mesh_member *members, uint32_t n)
{
	uint32_t word = 0;

	for (uint32_t i = 0; i < n; i++)
		word |= (uint32_t)members[i].config_current << i;
	if (!xdr_uint32_t(xdr, &word))
		return (FALSE);
	for (uint32_t i = 0; i < n; i++)
		members[i].config_current = (word >> i & 1) != 0;
	return (TRUE);
}

static bool_t
xdr_members(XDR *xdr, struct mesh_message *msg)
{
	if (!xdr_uint32_t(xdr, &msg->n_members) ||
	    msg->n_members > MESH_MEMBERS_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < msg->n_members; i++) {
		if (!xdr_uint32_t(xdr, &msg->members[i].name_hash))
			return (FALSE);
	}
	for (uint32_t i = 0; i < msg->n_members; i += FLAGS_PER_WORD) {
		if (!xdr_member_flags(xdr, &msg->members[i],
			MIN(msg->n_members - i, FLAGS_PER_WORD)))
			return (FALSE);
	}
	return (TRUE);
}

static bool_t
xdr_evacuations(XDR *xdr, struct evacuations *e)
{
	if (!xdr_uint64_t(xdr, &e->as_of) || !xdr_uint32_t(xdr, &e->n) ||
	    e->n > EVACUATED_MAX)
		return (FALSE);
	for (uint32_t i = 0; i < e->n; i++) {
		char *domain = e->domains[i];

		if (!xdr_string(xdr, &domain, EVACUATED_NAME_MAX - 1))
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

/* Encodes or decodes the first word. */
static bool_t
xdr_magic(XDR *xdr, struct mesh_message *msg)
{
	uint32_t magic = msg->with_sums && mesh_sums_count(msg) > 0 ?
	    MESH_MAGIC_SUMS :
	    MESH_MAGIC;

	if (!xdr_uint32_t(xdr, &magic) ||
	    (magic != MESH_MAGIC && magic != MESH_MAGIC_SUMS))
		return (FALSE);
	msg->with_sums = magic == MESH_MAGIC_SUMS;
	return (TRUE);
}

/* Encodes or decodes, depending on the operation of the XDR stream. */
static bool_t
xdr_message(XDR *xdr, struct mesh_message *msg)
{
	return (xdr_magic(xdr, msg) && xdr_kind(xdr, &msg->kind) &&
	    xdr_name(xdr, msg->name) && xdr_name(xdr, msg->domain) &&
	    xdr_uint32_t(xdr, &msg->capacity) &&
	    xdr_uint64_t(xdr, &msg->incarnation) &&
	    xdr_uint64_t(xdr, &msg->sequence) &&
	    xdr_uint64_t(xdr, &msg->ping) && xdr_uint64_t(xdr, &msg->pong) &&
	    xdr_self(xdr, &msg->self) && xdr_placer(xdr, &msg->placer) &&
	    xdr_address(xdr, &msg->relay) &&
	    xdr_int64_t(xdr, &msg->config_version) &&
	    xdr_uint64_t(xdr, &msg->config_offset) &&
	    xdr_uint32_t(xdr, &msg->config_age_ms) &&
	    xdr_uint64_t(xdr, &msg->entries_end) &&
	    xdr_flag(xdr, &msg->partial) && xdr_uint32_t(xdr, &msg->n_alive) &&
	    xdr_loads(xdr, msg) && xdr_avoid(xdr, msg) &&
	    xdr_limits(xdr, msg) && xdr_poisons(xdr, msg) &&
	    xdr_members(xdr, msg) && xdr_addresses(xdr, msg) &&
	    xdr_evacuations(xdr, &msg->evacuations) &&
	    (!msg->with_sums || mesh_sums_xdr(xdr, msg)));
}

/**
 * mesh_message_init() - initialize an empty datagram.
 * @msg: the datagram; its arrays are left as they are, since their counts are 0
 */
void
mesh_message_init(struct mesh_message *msg)
{
	memset(msg, 0, offsetof(struct mesh_message, loads));
	msg->with_sums = false;
	for (unsigned kind = 0; kind < SUM_KINDS; kind++)
		msg->sums[kind].n = 0;
}

/**
 * mesh_message_encode() - encode a datagram.
 * @msg: its contents
 * @out: output buffer
 * @size: size of @out
 *
 * Return: length of the datagram, or 0 if it does not fit.
 */
size_t
mesh_message_encode(const struct mesh_message *msg, char *out, size_t size)
{
	XDR xdr;
	size_t length = 0;

	xdrmem_create(&xdr, out, (u_int)size, XDR_ENCODE);
	if (xdr_message(&xdr, (struct mesh_message *)msg))
		length = xdr_getpos(&xdr);
	xdr_destroy(&xdr);
	return (length);
}

/**
 * mesh_message_decode() - decode a datagram.
 * @msg: filled in
 * @in: the datagram
 * @length: its length
 *
 * Return: false if it has another format, is truncated or has trailing bytes,
 * or names no sender.
 */
bool
mesh_message_decode(struct mesh_message *msg, char *in, size_t length)
{
	bool ok;
	XDR xdr;

	mesh_message_init(msg);
	xdrmem_create(&xdr, in, (u_int)length, XDR_DECODE);
	ok = xdr_message(&xdr, msg) && xdr_getpos(&xdr) == length;
	xdr_destroy(&xdr);
	return (ok && msg->name[0] != '\0');
}
