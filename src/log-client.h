/* Client of the platform's log; log_ops selects the protocol. */
#ifndef BL_LOG_CLIENT_H
#define BL_LOG_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct log_record - one record read from the log.
 * @offset: position in the stream, from 1
 * @json: content, or NULL when it did not parse
 */
struct log_record {
	uint64_t offset;
	json_t *json;
};

/**
 * struct log_batch - result of one read.
 * @first: oldest offset that the log retains
 * @next: offset that the next append would get, as of the read
 * @records: array of struct log_record, in order of offset
 */
struct log_batch {
	uint64_t first;
	uint64_t next;
	GArray *records;
};

struct log_client;

/**
 * struct log_ops - functions of one log protocol.
 * @append: append a record; false with ERROR_LOG_UNAVAILABLE means that it
 *	may or may not have been appended
 * @read: read from an offset, waiting up to wait_ms for a record; false with
 *	ERROR_LOG_TRIMMED when the offset is no longer retained, in which case
 *	the batch's @first is set
 * @close: free the client
 */
struct log_ops {
	bool (*append)(struct log_client *, const char *, json_t *, uint64_t *,
	    GError **);
	bool (*read)(struct log_client *, const char *, uint64_t, unsigned,
	    struct log_batch *, GError **);
	void (*close)(struct log_client *);
};

/**
 * struct log_client - client of the log; the first member of each protocol's
 * own struct.
 * @ops: functions of the protocol
 */
struct log_client {
	const struct log_ops *ops;
};

struct log_client *log_http_open(const char *);
void log_batch_init(struct log_batch *);
void log_batch_clear(struct log_batch *);

#endif
