/* Envelopes in which a relay sends a datagram to its cell, directly or by way
 * of other members. */
#ifndef BL_MESH_ENVELOPE_H
#define BL_MESH_ENVELOPE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Members that one member passes a datagram on to. */
#define MESH_TARGETS_MAX 32
/* Largest size of an envelope without the datagram, in bytes. */
#define MESH_ENVELOPE_BYTES_MAX 512
/* Set in an acknowledgement of a report. */
#define MESH_ACK_VALID 0x10000u

/**
 * struct mesh_target - a member that a datagram is for.
 * @ip: its IPv4 address, in network order
 * @port: its port, in host order
 * @ack: low 16 bits of the sequence number of its newest report that the relay
 *	has, and MESH_ACK_VALID; 0 where it has none
 */
struct mesh_target {
	uint32_t ip;
	uint16_t port;
	uint32_t ack;
};

/**
 * struct mesh_envelope - where a datagram comes from and whom it is for.
 * @origin: the relay that sent it, whoever passed it on
 * @self: its receiver
 * @n_targets: number of @targets
 * @targets: members that the receiver passes it on to
 */
struct mesh_envelope {
	struct mesh_target origin;
	struct mesh_target self;
	uint32_t n_targets;
	struct mesh_target targets[MESH_TARGETS_MAX];
};

size_t mesh_envelope_encode(const struct mesh_envelope *, const char *, size_t,
    char *, size_t);
bool mesh_envelope_decode(struct mesh_envelope *, char *, size_t, size_t *);

#endif
