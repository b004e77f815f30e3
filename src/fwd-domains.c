/*
 * How much endpoints of the own failure domain are preferred. Pure.
 *
 * While there is capacity, requests stay in their failure domain. When it gets
 * short, all failure domains compete for all of it on equal terms: otherwise
 * the one with the most demand, or with the fewest endpoints left, serves its
 * requests late while slots elsewhere are free.
 */
#include <glib.h>

#include "fwd-domains.h"
#include "ramp.h"

/* The preference falls from 1 to 0 between these parts of the slots of the own
 * failure domain that are in use. */
#define LOAD_FULL 0.5
#define LOAD_NONE 0.8
/* The same by how much more of the own slots are in use than of the others':
 * such a difference means that the demand exceeds the own part of the
 * endpoints. */
#define EXCESS_FULL 0.1
#define EXCESS_NONE 0.25
/* A surplus of one request doesn't count, even where there are few slots. */
#define EXCESS_REQUESTS 1.0
/* The same by the expected time to the first event, as a part of the objective.
 * Where the objective is tight, it is above half of that even without load. */
#define FIRST_FULL 0.75
#define FIRST_NONE 1.0

/**
 * fwd_domains_prefer() - how much the own failure domain is preferred.
 * @own: its usable endpoints
 * @others: those of all other failure domains
 *
 * Return: 0 for not at all to 1 for fully.
 */
double
fwd_domains_prefer(const struct fwd_usage *own, const struct fwd_usage *others)
{
	double load, excess;

	if (own->slots <= 0)
		return (0);
	load = own->running / own->slots;
	if (others->slots <= 0)
		return (1 - ramp(load, LOAD_FULL, LOAD_NONE));
	excess = (own->running - EXCESS_REQUESTS) / own->slots -
	    others->running / others->slots;
	return (1 -
	    MAX(ramp(load, LOAD_FULL, LOAD_NONE),
		ramp(excess, EXCESS_FULL, EXCESS_NONE)));
}

/**
 * fwd_domains_prefer_first() - how much it is preferred by its first events.
 * @first_ms: expected time to the first event at its best candidate
 * @objective_ms: objective for the first event; 0 for none
 *
 * Return: 0 for not at all to 1 for fully.
 */
double
fwd_domains_prefer_first(double first_ms, double objective_ms)
{
	if (objective_ms <= 0)
		return (1);
	return (1 - ramp(first_ms / objective_ms, FIRST_FULL, FIRST_NONE));
}
