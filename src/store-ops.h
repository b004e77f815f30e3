/* Interface to the platform's store, for any adapter. */
#ifndef BL_STORE_OPS_H
#define BL_STORE_OPS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum store_topic - topics of the store.
 * @TOPIC_CONFIG: the operators' configuration
 * @TOPIC_ENDPOINTS: the endpoints' entries
 * @TOPIC_PLACEMENT: the placer's lease and the records of groups
 * @TOPIC_DAEMONS: addresses of the daemons
 */
enum store_topic {
	TOPIC_CONFIG,
	TOPIC_ENDPOINTS,
	TOPIC_PLACEMENT,
	TOPIC_DAEMONS,
	TOPIC_COUNT,
};

/**
 * enum store_result - result of a call to the store.
 * @STORE_OK: success
 * @STORE_TRIMMED: the requested records are no longer retained
 * @STORE_CONFLICT: the topic does not end at the offset given to the append
 * @STORE_REFUSED: refused without any effect
 * @STORE_UNKNOWN: no response; the call may have taken effect, or may yet
 */
enum store_result {
	STORE_OK,
	STORE_TRIMMED,
	STORE_CONFLICT,
	STORE_REFUSED,
	STORE_UNKNOWN,
};

/**
 * struct store_record - the value of a key.
 * @key: the key
 * @value: its value; NULL when the key was removed
 * @length: size of the value in bytes
 * @offset: position of the record in its topic
 */
struct store_record {
	char *key;
	guint8 *value;
	size_t length;
	uint64_t offset;
};

/**
 * struct store_response - response to a call.
 * @result: result of the call
 * @records: array of struct store_record; NULL for an append
 * @end: end offset of the topic; where @more is set after a read, the offset of
 *	the first record that was left out
 * @more: further pages follow the last key, or further records the last one
 * @sent_ms: loop time just before the call; the state is no older
 * @status: HTTP status of the response, for logs
 */
struct store_response {
	enum store_result result;
	GArray *records;
	uint64_t end;
	bool more;
	uint64_t sent_ms;
	unsigned status;
};

/* Called once when a call ends; the response is valid until it returns. */
typedef void store_fn(void *, const struct store_response *);

struct store;

/**
 * struct store_ops - calls to the store; each returns false if not begun.
 * @newest: get the newest record of each key after a given one (NULL: from
 *	the first)
 * @read: get records from an offset on; not a long poll, since a response
 *	proves the topic's contents only as of the time of the call
 * @append: append records, if the topic ends at a given offset
 */
struct store_ops {
	bool (*newest)(struct store *, enum store_topic, const char *,
	    store_fn *, void *);
	bool (*read)(struct store *, enum store_topic, uint64_t, store_fn *,
	    void *);
	bool (*append)(struct store *, enum store_topic, const GArray *,
	    int64_t, store_fn *, void *);
};

/**
 * struct store - a store and its adapter's functions.
 * @ops: functions of the adapter
 * @timeout_ms: an append ends after this time, a read when nothing has arrived
 *	for so long
 * @calls: number of calls made, by topic
 * @failures: number of calls refused or without a valid response
 */
struct store {
	const struct store_ops *ops;
	unsigned timeout_ms;
	uint64_t calls[TOPIC_COUNT];
	uint64_t failures;
};

const char *store_topic_name(enum store_topic);
const char *store_result_name(enum store_result);
void store_record_clear(void *);

#endif
