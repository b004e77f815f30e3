/* The daemons whose addresses are in the store. */
#ifndef BL_MESH_DIRECTORY_H
#define BL_MESH_DIRECTORY_H

#include <glib.h>
#include <stdbool.h>

/**
 * struct mesh_directory - the daemons whose addresses are in the store.
 * @domains: name of a daemon to the name of its failure domain
 */
struct mesh_directory {
	GHashTable *domains;
};

void mesh_directory_init(struct mesh_directory *);
void mesh_directory_clear(struct mesh_directory *);
void mesh_directory_set(struct mesh_directory *, const char *, const char *);
void mesh_directory_remove(struct mesh_directory *, const char *);
void mesh_directory_keep(struct mesh_directory *, GHashTable *);
unsigned mesh_directory_count(const struct mesh_directory *, const char *);

#endif
