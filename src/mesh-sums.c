/*
 * Exchange of sums over all daemons, in the same way as of loads: a daemon
 * reports its own rows to its relay, relays send each other the sums of their
 * cells, and the fleet summary has the sums of all.
 */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/* A value above this is an error of the sender: no counter reaches it. */
#define VALUE_MAX 1000000000u

/**
 * mesh_remove_sums() - drop the rows that a daemon sent.
 * @peer: the daemon
 */
void
mesh_remove_sums(struct mesh_peer *peer)
{
	for (unsigned kind = 0; kind < SUM_KINDS; kind++)
		g_array_set_size(peer->sums[kind], 0);
}

/* Whether all values of a row are possible. */
static bool
row_valid(const struct sum_row *row)
{
	for (unsigned i = 0; i < SUM_VALUES_MAX; i++) {
		if (row->values[i] > VALUE_MAX)
			return (false);
	}
	return (true);
}

/**
 * mesh_set_sums() - replace the rows of a daemon by those of its datagram.
 * @peer: the daemon
 * @msg: its datagram
 */
void
mesh_set_sums(struct mesh_peer *peer, const struct mesh_message *msg)
{
	unsigned invalid = 0;

	mesh_remove_sums(peer);
	for (unsigned kind = 0; kind < SUM_KINDS; kind++) {
		const struct sum_table *table = &msg->sums[kind];

		for (uint32_t i = 0; i < table->n; i++) {
			if (row_valid(&table->rows[i]))
				g_array_append_vals(peer->sums[kind],
				    &table->rows[i], 1);
			else
				invalid++;
		}
	}
	if (invalid > 0)
		event_log(LOG_WARNING, "peer_sums_ignored",
		    "peer=%s rows=%u reason=value", peer->name, invalid);
}

/* Adds the rows of a daemon to tables. */
static void
add_peer(struct sum_table *tables, const struct mesh_peer *peer)
{
	for (unsigned kind = 0; kind < SUM_KINDS; kind++) {
		for (guint i = 0; i < peer->sums[kind]->len; i++)
			sum_table_add(&tables[kind],
			    &g_array_index(peer->sums[kind], struct sum_row,
				i));
	}
}

/* Whether a daemon has sent any rows that count. */
static bool
peer_has_sums(const struct mesh_peer *peer)
{
	for (unsigned kind = 0; kind < SUM_KINDS; kind++) {
		if (peer->sums[kind]->len > 0)
			return (true);
	}
	return (false);
}

/**
 * mesh_update_sums() - compute the sums over all daemons.
 * @mesh: the mesh
 *
 * A daemon that receives no sums assumes that all others count the same as it.
 */
void
mesh_update_sums(struct mesh *mesh)
{
	struct fleet_sums *sums = &mesh->registry->sums;
	const struct mesh_peer *peer;
	bool told = false;

	if (mesh->collect_sums != NULL)
		mesh->collect_sums(mesh->collect_sums_arg, sums->own,
		    mesh->now_ms);
	for (unsigned kind = 0; kind < SUM_KINDS; kind++)
		sums->total[kind].n = 0;
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (!peer_has_sums(peer))
			continue;
		told = true;
		add_peer(sums->total, peer);
	}
	/* A relay's sums for its cell include what the members reported. */
	if (mesh->relay == NULL || !told) {
		for (unsigned kind = 0; kind < SUM_KINDS; kind++) {
			for (uint32_t i = 0; i < sums->own[kind].n; i++)
				sum_table_add(&sums->total[kind],
				    &sums->own[kind].rows[i]);
		}
	}
	sums->told = told || mesh->n_others == 0;
	for (unsigned kind = 0; kind < SUM_KINDS && !sums->told; kind++) {
		if (sum_specs[kind].scaled)
			sum_table_scale(&sums->total[kind], 1 + mesh->n_others);
	}
}

/**
 * mesh_fill_sums() - add rows to a datagram.
 * @mesh: the mesh
 * @msg: the datagram; its kind determines which daemons' rows are added
 */
void
mesh_fill_sums(const struct mesh *mesh, struct mesh_message *msg)
{
	const struct fleet_sums *sums = &mesh->registry->sums;
	const struct mesh_peer *peer;

	memcpy(msg->sums,
	    msg->kind == MESH_FLEET_SUMMARY ? sums->total : sums->own,
	    sizeof msg->sums);
	if (msg->kind == MESH_CELL_SUMMARY) {
		TAILQ_FOREACH(peer, &mesh->peers, entry) {
			if (peer->loads_in_cell)
				add_peer(msg->sums, peer);
		}
	}
	for (unsigned kind = 0; kind < SUM_KINDS; kind++)
		sum_table_truncate(&msg->sums[kind], sum_specs[kind].sent_max);
}
