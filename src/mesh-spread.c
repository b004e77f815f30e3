/*
 * Sending a datagram to all members of a cell.
 *
 * The relay of a small cell sends to each member. In a large one that would
 * take its whole link, so it sends to about the square root of their number,
 * each of which passes the datagram on to as many others. Which members do is
 * different each time: one that has just died costs some others a single
 * datagram, and nobody depends on it.
 */
#include <math.h>
#include <string.h>

#include "event-log.h"
#include "mesh.h"
#include "net-address.h"

/* Members up to which a relay sends to each itself. */
#define DIRECT_MAX 64
/* The first member of a round moves on by this many, a prime, so that the
 * groups of two rounds differ. */
#define ROTATION 37

/**
 * struct spread - a datagram on its way to a cell.
 * @mesh: the mesh
 * @bytes: the datagram
 * @length: its length
 * @members: members that report here, of struct mesh_peer
 */
struct spread {
	struct mesh *mesh;
	const char *bytes;
	size_t length;
	GPtrArray *members;
};

static void
fill_target(const struct mesh_peer *peer, struct mesh_target *target)
{
	target->ip = peer->addr.sin_addr.s_addr;
	target->port = ntohs(peer->addr.sin_port);
	target->ack = 0;
	if (peer->last_report_ms != 0)
		target->ack = (uint16_t)peer->sequence | MESH_ACK_VALID;
}

static struct sockaddr_in
target_address(const struct mesh_target *target)
{
	return (net_address_make(target->ip, target->port));
}

/* This daemon as the origin of an envelope. */
static struct mesh_target
own_target(const struct mesh *mesh)
{
	const struct mesh_target own = { .ip = mesh->addr.sin_addr.s_addr,
		.port = ntohs(mesh->addr.sin_port) };

	return (own);
}

/* Sends a datagram in an envelope to its receiver. */
static void
envelope_send(struct mesh *mesh, const struct mesh_envelope *envelope,
    const char *bytes, size_t length)
{
	static char out[MESH_DATAGRAM_MAX + MESH_ENVELOPE_BYTES_MAX];
	struct sockaddr_in addr;
	size_t n =
	    mesh_envelope_encode(envelope, bytes, length, out, sizeof out);

	if (n == 0) {
		event_log(LOG_WARNING, "envelope_not_sent", "bytes=%zu",
		    length);
		return;
	}
	addr = target_address(&envelope->self);
	mesh->send_datagram(mesh->send_arg, &addr, out, n);
}

/* Sends to a group of members by way of the first. */
static void
spread_group(const struct spread *s, unsigned first, unsigned n)
{
	struct mesh_envelope envelope;

	envelope.origin = own_target(s->mesh);
	envelope.n_targets = n - 1;
	fill_target(s->members->pdata[first % s->members->len], &envelope.self);
	for (unsigned i = 1; i < n; i++)
		fill_target(s->members->pdata[(first + i) % s->members->len],
		    &envelope.targets[i - 1]);
	envelope_send(s->mesh, &envelope, s->bytes, s->length);
}

/* Number of members of each group. */
static unsigned
group_size(unsigned members)
{
	if (members <= DIRECT_MAX)
		return (1);
	return (MIN((unsigned)ceil(sqrt(members)), MESH_TARGETS_MAX + 1));
}

/**
 * mesh_spread_to() - send a datagram to one member.
 * @mesh: the mesh
 * @peer: the member
 * @bytes: the datagram
 * @length: its length
 */
void
mesh_spread_to(struct mesh *mesh, const struct mesh_peer *peer,
    const char *bytes, size_t length)
{
	struct mesh_envelope envelope = { 0 };

	envelope.origin = own_target(mesh);
	fill_target(peer, &envelope.self);
	envelope_send(mesh, &envelope, bytes, length);
}

/* Number of members that report to this daemon. */
static unsigned
count_members(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	unsigned n = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry)
		n += mesh_peer_reports(mesh, peer);
	return (n);
}

/**
 * mesh_spread_large() - whether the cell is so large that its members pass
 * datagrams on.
 * @mesh: the mesh
 */
bool
mesh_spread_large(const struct mesh *mesh)
{
	return (count_members(mesh) > DIRECT_MAX);
}

/**
 * mesh_spread_groups() - how often this daemon itself sends a datagram that is
 * for all members.
 * @mesh: the mesh
 */
unsigned
mesh_spread_groups(const struct mesh *mesh)
{
	unsigned members = count_members(mesh);
	unsigned size = group_size(members);

	return ((members + size - 1) / size);
}

/**
 * mesh_spread() - send a datagram to all members that report to this daemon.
 * @mesh: the mesh
 * @except: a member that has it already, or NULL
 * @bytes: the datagram
 * @length: its length
 */
void
mesh_spread(struct mesh *mesh, const struct mesh_peer *except,
    const char *bytes, size_t length)
{
	g_autoptr(GPtrArray) members = g_ptr_array_new();
	const struct spread s = { mesh, bytes, length, members };
	struct mesh_peer *peer;
	unsigned size, start;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (peer != except && mesh_peer_reports(mesh, peer))
			g_ptr_array_add(members, peer);
	}
	if (members->len == 0)
		return;
	size = group_size(members->len);
	start = (unsigned)(mesh->n_spread++ * ROTATION % members->len);
	for (unsigned i = 0; i < members->len; i += size)
		spread_group(&s, start + i, MIN(size, members->len - i));
}

/**
 * mesh_unwrap() - take a received datagram out of its envelope, and pass it on
 * to the members that the envelope names.
 * @mesh: the mesh
 * @in: the envelope; moved to the datagram
 * @length: length of the envelope; changed to that of the datagram
 * @from: set to the daemon that sent the datagram
 * @ack: set to the acknowledgement of this daemon's reports; 0 for none
 *
 * Return: false, and nothing is changed, if there is no envelope.
 */
bool
mesh_unwrap(struct mesh *mesh, char **in, size_t *length,
    struct sockaddr_in *from, uint32_t *ack)
{
	struct mesh_envelope envelope, next;
	size_t at;

	if (!mesh_envelope_decode(&envelope, *in, *length, &at))
		return (false);
	*in += at;
	*length -= at;
	*ack = envelope.self.ack;
	*from = target_address(&envelope.origin);
	next.origin = envelope.origin;
	next.n_targets = 0;
	for (uint32_t i = 0; i < envelope.n_targets; i++) {
		next.self = envelope.targets[i];
		envelope_send(mesh, &next, *in, *length);
	}
	return (true);
}
