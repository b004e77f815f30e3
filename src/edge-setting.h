/* Settings of banklift-edge. */
#ifndef BL_EDGE_SETTING_H
#define BL_EDGE_SETTING_H

#include "fwd-setting.h"
#include "setting-table.h"

/**
 * struct edge_settings - the checked settings.
 * @fwd: settings of the proxy; those that depend on others are filled in by
 *	edge_apply_settings()
 * @check: check the settings and exit
 *
 * Each other field is a setting of the same name; see the table in
 * edge-setting.c for meanings, units, ranges and defaults.
 */
struct edge_settings {
	char *config;
	char *name;
	char *domain;
	char *caller_address;
	char *ready_address;
	char *metrics_address;
	char *peer_address;
	char *store_address;
	char *source_ip;
	char *tunnel_address;
	char *log_level;
	int64_t key_proof_ms;
	int64_t apply_ms;
	int64_t drain_ms;
	double grace_s;
	int64_t rest_most_ms;
	int64_t stall_ms;
	double retry_window_s;
	double cpu_share;
	double cores;
	double memory_mb;
	bool first_start;
	bool placement_demand;
	struct fwd_setting fwd;
	bool check;
};

bool edge_setting_parse(struct edge_settings *, int, const char **, GError **);
void edge_setting_free(struct edge_settings *);

#endif
