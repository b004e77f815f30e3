/* A log client that keeps its records in memory and can simulate faults. */
#ifndef TESTS_FAKE_LOG_H
#define TESTS_FAKE_LOG_H

#include "log-client.h"

/**
 * struct fake_log - one log stream in memory
 * @client: interface for the code under test
 * @lock: protects the other fields
 * @records: JSON texts; the first has offset 1
 * @first: oldest offset that is retained
 * @down: all calls fail
 * @lose_responses: number of next appends that take effect but return a failure
 * @append_calls: number of append calls so far
 * @fail_appends: number of next appends that fail without effect
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
