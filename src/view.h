/* The view: an immutable snapshot that request threads read under RCU. */
#ifndef BL_VIEW_H
#define BL_VIEW_H

#include <glib.h>

#include "customer.h"
#include "inventory.h"
#include "route-set.h"
#include "state.h"

/**
 * struct view - one published view.
 * @next: next offset of the configuration that it was built from
 * @config_complete: the configuration was complete, see struct config
 * @hosts_listed: it was built from a host list of the platform
 * @by_key: SHA-256 of a customer's API key, in hex, to struct customer
 * @deployments: name to struct route_set
 * @services: name to struct route_set
 */
struct view {
	uint64_t next;
	bool config_complete;
	bool hosts_listed;
	GHashTable *by_key;
	GHashTable *deployments;
	GHashTable *services;
};

/**
 * struct view_tables - objects that successive views share; for the builder
 * only.
 * @targets: key to struct target
 * @customers: name to struct customer
 * @admissions: name of a deployment to struct admission
 */
struct view_tables {
	GHashTable *targets;
	GHashTable *customers;
	GHashTable *admissions;
};

void view_tables_init(struct view_tables *);
void view_tables_destroy(struct view_tables *);
struct view *view_build(struct view_tables *, const struct state *,
    struct inventory *, const char *, unsigned);
void view_free(struct view *);

#endif
