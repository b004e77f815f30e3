/* The platform's store as the rest of the program sees it. */
#ifndef BL_STORE_OPS_H
#define BL_STORE_OPS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum store_topic - what is kept there.
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
 * enum store_result - how a call to the store ended.
 * @STORE_OK: done
 * @STORE_TRIMMED: the records asked for are no longer kept
 * @STORE_CONFLICT: the topic did not end where the caller said
 * @STORE_REFUSED: nothing was done
 * @STORE_UNKNOWN: no answer; it may have been done, or may yet be
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
 * @length: bytes of the value
 * @offset: place of the record in its topic
 */
struct store_record {
	char *key;
	guint8 *value;
	size_t length;
	uint64_t offset;
};

/**
 * struct store_response - what a call brought.
 * @result: how it ended
 * @records: of struct store_record; NULL for an append
 * @end: where the topic ended
 * @more: further pages follow the last key
 * @sent_ms: loop time just before the call; the state is no older
 * @status: of the reply, for logs
 */
struct store_response {
	enum store_result result;
	GArray *records;
	uint64_t end;
	bool more;
	uint64_t sent_ms;
	unsigned status;
};

/* Told once when a call ends; the answer lives until it returns. */
typedef void store_fn(void *, const struct store_response *);

struct store;

/**
 * struct store_ops - calls to the store; each returns false if not begun.
 * @newest: the newest record of each key after a key (NULL: from the first)
 * @read: records from an offset on; never held back where there are none,
 *	since what is proved dates from the asking
 * @append: add records, if the topic ends at a given offset
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
 * @ops: the functions
 * @timeout_ms: for one call
 * @calls: made so far, by topic
 * @failures: of them without a good answer
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
