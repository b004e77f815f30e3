/* Settings of banklift-edge. */
#include <string.h>

#include "edge-setting.h"
#include "error.h"

#define AT(field) offsetof(struct edge_settings, field)

static const struct setting edge_setting_table[] = {
	{ "config", SETTING_STRING, AT(config), "", 0, 0, "path",
	    "settings file (key=value under [banklift]); re-read when it "
	    "changes" },
	{ "name", SETTING_NAME, AT(name), NULL, 0, 0, "name",
	    "name of this daemon, unique" },
	{ "domain", SETTING_NAME, AT(domain), NULL, 0, 0, "name",
	    "failure domain of this host" },
	{ "caller-address", SETTING_ADDRESS, AT(caller_address),
	    "127.0.0.1:8080", 0, 0, "ip:port", "where clients connect" },
	{ "ready-address", SETTING_ADDRESS, AT(ready_address), "127.0.0.1:8083",
	    0, 0, "ip:port", "where readiness checks are served" },
	{ "metrics-address", SETTING_ADDRESS, AT(metrics_address),
	    "127.0.0.1:9464", 0, 0, "ip:port", "where metrics are served" },
	{ "peer-address", SETTING_ADDRESS, AT(peer_address), "127.0.0.1:8084",
	    0, 0, "ip:port", "where other daemons connect, UDP and TCP" },
	{ "store-address", SETTING_ADDRESS, AT(store_address), "127.0.0.1:8090",
	    0, 0, "ip:port", "the platform's store" },
	{ "source-ip", SETTING_IP, AT(source_ip), "0.0.0.0", 0, 0, "ip",
	    "source address of connections to endpoints, which may tell "
	    "daemons apart by it; 0.0.0.0: chosen by the system" },
	{ "tunnel-address", SETTING_ADDRESS, AT(tunnel_address), "", 0, 0,
	    "ip:port",
	    "where other daemons connect for tunnels to endpoints that they "
	    "don't reach themselves; the port is the same at all daemons; "
	    "empty: no tunnels" },
	{ "log-level", SETTING_LEVEL, AT(log_level), "info", 0, 0, "level",
	    "emerg, alert, crit, err, warning, notice, info or debug" },
	{ "key-proof-ms", SETTING_MILLIS, AT(key_proof_ms), "5000", 500, 600000,
	    "ms", "a revoked key is refused after this" },
	{ "keys-fail-closed", SETTING_BOOL, AT(fwd.keys_fail_closed), "true", 0,
	    0, "true or false",
	    "refuse known keys while the configuration can't be proved to be "
	    "the newest within key-proof-ms" },
	{ "apply-ms", SETTING_MILLIS, AT(apply_ms), "2000", 100, 600000, "ms",
	    "a new configuration is in force within this" },
	{ "drain-ms", SETTING_MILLIS, AT(drain_ms), "2000", 100, 600000, "ms",
	    "a draining endpoint gets no new requests after this" },
	{ "grace-s", SETTING_REAL, AT(grace_s), "8", 1, 3600, "s",
	    "time from SIGTERM to SIGKILL" },
	{ "rest-most-ms", SETTING_MILLIS, AT(rest_most_ms), "300000", 1000,
	    3600000, "ms",
	    "a backoff that an endpoint asks for lasts no longer" },
	{ "stall-ms", SETTING_MILLIS, AT(stall_ms), "5000", 100, 600000, "ms",
	    "the platform breaks a stalled replica after this" },
	{ "retry-ratio", SETTING_REAL, AT(fwd.retry.ratio), "0.2", 0, 100,
	    "number", "retries per request, over all daemons" },
	{ "retry-window-s", SETTING_REAL, AT(retry_window_s), "10", 1, 3600,
	    "s", "window in which retries are counted" },
	{ "retry-slack", SETTING_REAL, AT(fwd.retry.slack), "100", 0, 1000000,
	    "count", "retries beyond the ratio, over all daemons" },
	{ "released-works", SETTING_STRING, AT(fwd.released_fingerprints), "",
	    0, 0, "list",
	    "requests, as log field work names them, that are never "
	    "quarantined" },
	{ "refused-works", SETTING_STRING, AT(fwd.refused_fingerprints), "", 0,
	    0, "list",
	    "requests, as log field work names them, that are refused" },
	{ "cpu-share", SETTING_REAL, AT(cpu_share), "1", 0, 1000, "share",
	    "share of a core that this daemon has" },
	{ "cores", SETTING_REAL, AT(cores), "1", 0, 1000, "number",
	    "speed of that core, relative to a usual one" },
	{ "memory-mb", SETTING_REAL, AT(memory_mb), "160", 1, 1048576, "MB",
	    "memory that this daemon has" },
	{ "first-start", SETTING_BOOL, AT(first_start), "false", 0, 0,
	    "true or false",
	    "the whole deployment starts for the first time, so that the store "
	    "has no addresses of daemons yet" },
	{ "overload-levels", SETTING_BOOL, AT(fwd.overload_levels), "false", 0,
	    0, "true or false",
	    "refuse requests of low priority first when capacity is short" },
	{ "customer-shares", SETTING_BOOL, AT(fwd.customer_shares), "false", 0,
	    0, "true or false",
	    "share capacity that is short fairly among customers" },
	{ "retry-schedule", SETTING_BOOL, AT(fwd.retry_schedule), "false", 0, 0,
	    "true or false",
	    "tell refused clients to return when capacity is expected" },
	{ "endpoint-evidence", SETTING_BOOL, AT(fwd.endpoint_evidence), "false",
	    0, 0, "true or false",
	    "correct expected latencies by what all daemons observe" },
	{ "balance-spread", SETTING_BOOL, AT(fwd.balance_spread), "false", 0, 0,
	    "true or false",
	    "spread requests by what other daemons may have sent meanwhile" },
	{ "balance-domains", SETTING_BOOL, AT(fwd.balance_domains), "false", 0,
	    0, "true or false",
	    "prefer the own failure domain only while it has capacity" },
	{ "placement-demand", SETTING_BOOL, AT(placement_demand), "false", 0, 0,
	    "true or false", "place replicas by the demand for each model" },
	{ NULL, 0, 0, NULL, 0, 0, NULL, NULL },
};

/**
 * edge_setting_parse() - read settings from flags, environment, file, defaults.
 * @set: filled in; free with edge_setting_free()
 * @argc: number of arguments
 * @argv: the arguments
 * @error: ERROR_BAD_SETTING with the setting and its allowed range
 *
 * A flag takes precedence over the environment, that over the settings file.
 *
 * Return: whether the settings are valid.
 */
bool
edge_setting_parse(struct edge_settings *set, int argc, const char **argv,
    GError **error)
{
	const struct setting_source source = { argc, argv, "config" };

	memset(set, 0, sizeof *set);
	return (setting_table_parse(edge_setting_table, set, &source,
	    &set->check, error));
}

/**
 * edge_setting_free() - free the strings of settings.
 * @set: the settings
 */
void
edge_setting_free(struct edge_settings *set)
{
	setting_table_free(edge_setting_table, set);
}
