/* Settings of bankliftd. */
#ifndef BL_SETTING_H
#define BL_SETTING_H

#include "setting-table.h"

/**
 * struct settings - the checked settings; the table in setting.c has their
 * descriptions, units, ranges and defaults.
 */
struct settings {
	char *name;
	char *domain;
	char *caller_address;
	char *operator_address;
	char *peer_address;
	char *peers;
	char *log_url;
	char *hosts_url;
	char *operator_token;
	char *log_level;
	int64_t evidence_ms;
	int64_t probe_ms;
	int64_t heartbeat_ms;
	int64_t peer_dead_ms;
	int64_t lease_renew_ms;
	int64_t lease_hold_ms;
	int64_t lease_wait_ms;
	int64_t claim_batch_ms;
	int64_t claim_partitions;
	int64_t snapshot_records;
	int64_t drain_accept_ms;
	int64_t body_bytes;
	int64_t connections;
	int64_t response_memory_mb;
	int64_t call_timeout_ms;
	int64_t stall_ms;
	int64_t load_parallel;
	int64_t dead_ms;
	bool check;
};

bool setting_parse(struct settings *, int, const char **, GError **);
void setting_free(struct settings *);

#endif
