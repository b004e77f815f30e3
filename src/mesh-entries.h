/* Datagrams that distribute the entries of endpoints that one daemon read from
 * the store. */
#ifndef BL_MESH_ENTRIES_H
#define BL_MESH_ENTRIES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mesh-message.h"

/* Records in one message: all endpoints that serve, for a daemon that starts.
 */
#define MESH_RECORDS_MAX 4096
/* Largest value of a record, in bytes. */
#define MESH_VALUE_MAX 4096

/**
 * struct mesh_stamp - when entries were read and sent, by the sender's clock.
 * @incarnation: random number of the sender's current run; 0 for no stamp
 * @sent_ms: when they were sent
 * @age_ms: time since the topic ended at their end; UINT32_MAX for unknown
 */
struct mesh_stamp {
	uint64_t incarnation;
	uint64_t sent_ms;
	uint32_t age_ms;
};

/**
 * struct mesh_entries - changed entries of endpoints.
 * @name: name of the sender
 * @from: the records are all that changed from this store offset on
 * @end: up to this one
 * @regained_age_ms: time since the store answered the sender again after an
 *	outage, in ms; UINT32_MAX for never
 * @records: the changed records, of struct store_record
 * @stamp: when they were read and sent; old senders don't say so
 */
struct mesh_entries {
	char name[MESH_NAME_MAX];
	uint64_t from;
	uint64_t end;
	uint32_t regained_age_ms;
	GArray *records;
	struct mesh_stamp stamp;
};

/**
 * struct mesh_resend - a request to send missed entries again.
 * @name: name of the sender
 * @from: it lacks what changed from this store offset on
 * @end: up to this one; UINT64_MAX for all that follows
 */
struct mesh_resend {
	char name[MESH_NAME_MAX];
	uint64_t from;
	uint64_t end;
};

size_t mesh_resend_encode(const struct mesh_resend *, char *, size_t);
bool mesh_resend_decode(struct mesh_resend *, char *, size_t);
size_t mesh_entries_encode(const struct mesh_entries *, guint, guint, char *,
    size_t);
bool mesh_entries_decode(struct mesh_entries *, char *, size_t);

#endif
