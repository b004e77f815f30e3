/* A log in memory, as a table of function pointers, with faults. */
#ifndef TESTS_FAKE_LOG_H
#define TESTS_FAKE_LOG_H

#include "log-client.h"

/**
 * struct fake_log - one stream in memory.
 * @client: what the code under test sees
 * @records: texts, from offset 1
 * @first: oldest offset that is kept
 * @down: every call fails
 * @lose_responses: the next appends that take effect without an answer
 * @append_calls: appends that were asked for
 * @fail_appends: the next appends that fail without effect
 */
struct fake_log {
	struct log_client client;
	GMutex lock;
	GPtrArray *records;
	uint64_t first;
	bool down;
	unsigned lose_responses;
	int append_calls;
	unsigned fail_appends;
};

void fake_log_init(struct fake_log *);
void fake_log_clear(struct fake_log *);
uint64_t fake_log_add(struct fake_log *, json_t *);

#endif
