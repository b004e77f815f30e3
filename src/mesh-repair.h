/* Repair of gaps in the entries that other daemons distribute. */
#ifndef BL_MESH_REPAIR_H
#define BL_MESH_REPAIR_H

#include <netinet/in.h>

#include "histogram.h"
#include "mesh-entries.h"

/* Members that passed a datagram on, and may be asked for others. */
#define REPAIR_HOPS_MAX 8

/**
 * enum repair_count - what is counted.
 * @REPAIR_GAPS: gaps that were noticed here
 * @REPAIR_ASKED: requests that this daemon sent to others
 * @REPAIR_RESENT: datagrams that it sent again to one daemon
 * @REPAIR_SPREAD: datagrams that it sent again to its whole cell
 * @REPAIR_UNKNOWN: requests of others for what is not kept here
 * @REPAIR_PACED: datagrams that it was asked for and left to other daemons, as
 *	it had sent too many bytes
 */
enum repair_count {
	REPAIR_GAPS,
	REPAIR_ASKED,
	REPAIR_RESENT,
	REPAIR_SPREAD,
	REPAIR_UNKNOWN,
	REPAIR_PACED,
	REPAIR_COUNTS,
};

/**
 * struct mesh_repair - gaps here, and what is sent again to others.
 * @settled_end: offset up to which entries were known to exist a round ago;
 *	those that are missing now are not just late
 * @gap_from: where the first gap begins
 * @gap_ms: since when it has been open; 0 for no gap
 * @logged_ms: when it was last logged
 * @read_ms: when the store was last read because of a gap; 0 for never
 * @n_requests: requests sent because of it
 * @hops: members that passed the newest datagrams on
 * @n_hops: number of such datagrams so far
 * @draw: state of the random numbers that spread requests over daemons
 * @tokens: bytes that may be sent again now; negative after a large datagram
 * @tokens_ms: when that was last updated
 * @counts: counters, by enum repair_count
 * @delays: times in ms from the sending of changed entries until they were
 *	applied here
 */
struct mesh_repair {
	uint64_t settled_end;
	uint64_t gap_from;
	uint64_t gap_ms;
	uint64_t logged_ms;
	uint64_t read_ms;
	unsigned n_requests;
	struct sockaddr_in hops[REPAIR_HOPS_MAX];
	unsigned n_hops;
	uint64_t draw;
	double tokens;
	uint64_t tokens_ms;
	uint64_t counts[REPAIR_COUNTS];
	struct histogram delays;
};

#endif
