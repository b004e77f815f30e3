/* Entries of endpoints that one daemon read and tells the others. */
#ifndef BL_MESH_ENTRIES_H
#define BL_MESH_ENTRIES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mesh-message.h"

/* Records told at once: all endpoints that serve, to a daemon that starts. */
#define MESH_RECORDS_MAX 4096
/* Largest value of a record. */
#define MESH_VALUE_MAX 4096

/**
 * struct mesh_entries - one datagram.
 * @name: of the sender
 * @from: the sender read from this offset
 * @end: to this one
 * @returned_ms: how long ago the store came back to it; UINT32_MAX for never
 * @records: what changed, of struct store_record
 */
struct mesh_entries {
	char name[MESH_NAME_MAX];
	uint64_t from;
	uint64_t end;
	uint32_t returned_ms;
	GArray *records;
};

/**
 * struct mesh_resend - a question for entries that were missed.
 * @name: of the sender
 * @from: it lacks what changed from this offset on
 */
struct mesh_resend {
	char name[MESH_NAME_MAX];
	uint64_t from;
};

size_t mesh_resend_encode(const struct mesh_resend *, char *, size_t);
bool mesh_resend_decode(struct mesh_resend *, char *, size_t);
size_t mesh_entries_encode(const struct mesh_entries *, guint, guint, char *,
    size_t);
bool mesh_entries_decode(struct mesh_entries *, char *, size_t);

#endif
