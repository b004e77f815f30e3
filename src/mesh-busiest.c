/* The daemon that has most of the demand for a service. Does no I/O. */
#include "fwd-demand.h"
#include "mesh.h"

/* A daemon is the busiest one only if it has this part of the demand. */
#define BUSIEST_PART_MIN 0.5
/* Demand below this, in requests per second, is too little to tell. */
#define DEMAND_MIN_PER_S 2.0

/* Requests per second for the service and model of an endpoint in a table. */
static double
table_asked(const struct sum_table *table, const struct endpoint *ep)
{
	struct fleet_demand demand;

	fleet_demand_total(table, ep->report.service, ep->report.model,
	    &demand);
	return (demand.asked + demand.returned);
}

/* The same that another daemon reported of itself. */
static double
peer_asked(const struct mesh_peer *peer, const struct endpoint *ep)
{
	static struct sum_table table;
	const GArray *rows = peer->sums[SUM_DEMAND];

	table.n = 0;
	for (guint i = 0; i < rows->len && i < SUM_ROWS_MAX; i++)
		table.rows[table.n++] = g_array_index(rows, struct sum_row, i);
	return (table_asked(&table, ep));
}

/**
 * mesh_busiest() - find the daemon that has most of the demand for the service
 *	of an endpoint.
 * @mesh: the mesh
 * @ep: the endpoint
 * @busiest: filled in
 *
 * Known only where every daemon reports to every other.
 *
 * Return: whether one daemon has most of it.
 */
bool
mesh_busiest(const struct mesh *mesh, const struct endpoint *ep,
    struct mesh_busiest *busiest)
{
	const struct fleet_sums *sums = &mesh->registry->sums;
	const struct mesh_peer *peer;
	double most, total;

	if (!mesh_flat(mesh) || !sums->told)
		return (false);
	most = total = table_asked(&sums->own[SUM_DEMAND], ep);
	busiest->self = true;
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		double asked = peer_asked(peer, ep);

		total += asked;
		if (asked <= most)
			continue;
		most = asked;
		busiest->self = false;
	}
	if (total < DEMAND_MIN_PER_S)
		return (false);
	busiest->part = most / total;
	return (busiest->part >= BUSIEST_PART_MIN);
}
