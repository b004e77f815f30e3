/*
 * The daemons whose addresses are in the store, and which should be. No
 * function here does I/O.
 *
 * A daemon needs the address of its relay, not those of all daemons: with all
 * of them in the store, N daemons that start read N times N addresses. So only
 * some write theirs: all of a small fleet, whose daemons send to each other
 * directly; of a larger one the relays, and a few more, so that a start finds
 * one of its failure domain while others are down.
 */
#include <string.h>

#include "mesh.h"

/* Addresses in the store until which any daemon adds its own: more than there
 * are in a fleet whose daemons send to each other directly. */
#define DIRECTORY_MIN 16
/* The same for the addresses of one failure domain. */
#define DIRECTORY_DOMAIN_MIN 3
/* Addresses of one failure domain beyond which those of daemons that are no
 * longer alive are removed. */
#define DIRECTORY_DOMAIN_MAX 6
/* A relay knows who is alive this long after its start. */
#define PRUNE_AFTER_MS 10000
/* At the first start of a deployment the daemons read the addresses one after
 * the other, those that are preferred as relays first, so that most of them
 * find enough. */
#define FIRST_SPREAD_MS 1000
#define FIRST_SPREAD_LARGE_MS 300
/* Capacity of such a daemon, in thousandths of a core. */
#define LARGE_CAPACITY 500

/**
 * mesh_directory_init() - initialize an empty directory.
 * @dir: the directory
 */
void
mesh_directory_init(struct mesh_directory *dir)
{
	dir->domains =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/**
 * mesh_directory_clear() - free what a directory holds.
 * @dir: the directory
 */
void
mesh_directory_clear(struct mesh_directory *dir)
{
	g_clear_pointer(&dir->domains, g_hash_table_destroy);
}

/**
 * mesh_directory_set() - note that a daemon's address is in the store.
 * @dir: the directory
 * @name: the daemon
 * @domain: its failure domain
 */
void
mesh_directory_set(struct mesh_directory *dir, const char *name,
    const char *domain)
{
	g_hash_table_replace(dir->domains, g_strdup(name), g_strdup(domain));
}

/**
 * mesh_directory_remove() - note that a daemon's address is not in the store.
 * @dir: the directory
 * @name: the daemon
 */
void
mesh_directory_remove(struct mesh_directory *dir, const char *name)
{
	g_hash_table_remove(dir->domains, name);
}

/**
 * mesh_directory_keep() - keep the daemons of a complete snapshot only.
 * @dir: the directory
 * @names: keys of the snapshot
 */
void
mesh_directory_keep(struct mesh_directory *dir, GHashTable *names)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, dir->domains);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (!g_hash_table_contains(names, name))
			g_hash_table_iter_remove(&iter);
	}
}

/**
 * mesh_directory_count() - number of daemons of a failure domain.
 * @dir: the directory
 * @domain: the failure domain; NULL for all
 */
unsigned
mesh_directory_count(const struct mesh_directory *dir, const char *domain)
{
	GHashTableIter iter;
	gpointer value;
	unsigned n = 0;

	if (domain == NULL)
		return (g_hash_table_size(dir->domains));
	g_hash_table_iter_init(&iter, dir->domains);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		n += strcmp(value, domain) == 0;
	return (n);
}

/**
 * mesh_directory_delay_ms() - delay of the first read at the first start of a
 * deployment.
 * @mesh: the mesh
 */
unsigned
mesh_directory_delay_ms(const struct mesh *mesh)
{
	unsigned spread = mesh->capacity >= LARGE_CAPACITY ?
	    FIRST_SPREAD_LARGE_MS :
	    FIRST_SPREAD_MS;

	return ((unsigned)((uint64_t)mesh->name_hash * spread / UINT32_MAX));
}

/**
 * mesh_directory_lacks_self() - whether this daemon's address should be in the
 * store and is not.
 * @mesh: the mesh; the directory has been read
 */
bool
mesh_directory_lacks_self(const struct mesh *mesh)
{
	const struct mesh_directory *dir = &mesh->directory;

	if (mesh->self.draining || mesh->records_read_ms == 0 ||
	    g_hash_table_contains(dir->domains, mesh->name))
		return (false);
	return (mesh_directory_count(dir, NULL) < DIRECTORY_MIN ||
	    mesh_directory_count(dir, mesh->domain) < DIRECTORY_DOMAIN_MIN ||
	    (mesh->relay == NULL && !mesh_flat(mesh)));
}

/* Whether a daemon whose address is in the store is alive, as far as the relay
 * of its cell knows. */
static bool
recorded_alive(const struct mesh *mesh, const char *name)
{
	const struct mesh_peer *peer = mesh_find(mesh, name);

	return (peer != NULL &&
	    (mesh_peer_reports(mesh, peer) || mesh_peer_is_relay(mesh, peer)));
}

/**
 * mesh_directory_prune() - choose the addresses to remove from the store.
 * @mesh: the mesh
 * @names: names of the daemons are appended; they are owned by the directory
 *
 * A relay removes those of its failure domain whose daemons are not alive, so
 * that the list does not grow with each daemon that ever was a relay.
 */
void
mesh_directory_prune(const struct mesh *mesh, GPtrArray *names)
{
	const struct mesh_directory *dir = &mesh->directory;
	unsigned n = mesh_directory_count(dir, mesh->domain);
	GHashTableIter iter;
	gpointer name, domain;

	if (mesh->relay != NULL || mesh_flat(mesh) ||
	    mesh->now_ms - mesh->opened_ms < PRUNE_AFTER_MS)
		return;
	g_hash_table_iter_init(&iter, dir->domains);
	while (n > DIRECTORY_DOMAIN_MAX &&
	    g_hash_table_iter_next(&iter, &name, &domain)) {
		if (strcmp(domain, mesh->domain) != 0 ||
		    strcmp(name, mesh->name) == 0 || recorded_alive(mesh, name))
			continue;
		g_ptr_array_add(names, name);
		n--;
	}
}
