/* Settings of bankliftd. */
#include <string.h>

#include "error.h"
#include "setting.h"

#define AT(field) offsetof(struct settings, field)

static const struct setting setting_table[] = {
	{ "name", SETTING_NAME, AT(name), NULL, 0, 0, "name",
	    "unique name of this daemon" },
	{ "domain", SETTING_NAME, AT(domain), NULL, 0, 0, "name",
	    "failure domain of this host" },
	{ "caller-address", SETTING_ADDRESS, AT(caller_address),
	    "127.0.0.1:8080", 0, 0, "ip:port", "where clients connect" },
	{ "operator-address", SETTING_ADDRESS, AT(operator_address),
	    "127.0.0.1:8081", 0, 0, "ip:port", "where operators connect" },
	{ "peer-address", SETTING_ADDRESS, AT(peer_address), "127.0.0.1:8082",
	    0, 0, "ip:port", "where other daemons connect, TCP and UDP" },
	{ "peers", SETTING_STRING, AT(peers), "", 0, 0, "ip:port,...",
	    "peer addresses of some daemons to contact first" },
	{ "log-url", SETTING_STRING, AT(log_url), "http://127.0.0.1:8090", 0, 0,
	    "url", "the platform's log service" },
	{ "hosts-url", SETTING_STRING, AT(hosts_url), "http://127.0.0.1:8091",
	    0, 0, "url", "the platform's host list" },
	{ "operator-token", SETTING_STRING, AT(operator_token), NULL, 0, 0,
	    "secret",
	    "token of operators; pass it in BANKLIFT_OPERATOR_TOKEN" },
	{ "log-level", SETTING_LEVEL, AT(log_level), "info", 0, 0, "level",
	    "emerg, alert, crit, err, warning, notice, info or debug" },
	{ "evidence-ms", SETTING_INT, AT(evidence_ms), "5000", 100, 60000, "ms",
	    "age at which a host's evidence expires" },
	{ "probe-ms", SETTING_INT, AT(probe_ms), "1000", 20, 30000, "ms",
	    "time between probes of a host" },
	{ "heartbeat-ms", SETTING_INT, AT(heartbeat_ms), "1000", 20, 30000,
	    "ms", "time between heartbeats to a peer" },
	{ "peer-dead-ms", SETTING_INT, AT(peer_dead_ms), "8000", 100, 120000,
	    "ms", "silence after which a peer counts as dead" },
	{ "lease-renew-ms", SETTING_INT, AT(lease_renew_ms), "2000", 50, 60000,
	    "ms", "time between renewals of a control lease" },
	{ "lease-hold-ms", SETTING_INT, AT(lease_hold_ms), "6000", 100, 120000,
	    "ms", "age of a renewal at which the lease holder stops" },
	{ "lease-wait-ms", SETTING_INT, AT(lease_wait_ms), "10000", 200, 240000,
	    "ms", "age of a renewal at which another daemon may take over" },
	{ "claim-batch-ms", SETTING_INT, AT(claim_batch_ms), "20", 0, 1000,
	    "ms", "minimum time between two claim batches of a partition" },
	{ "claim-partitions", SETTING_INT, AT(claim_partitions), "8", 1, 256,
	    "count", "claim partitions; the same number on all daemons" },
	{ "snapshot-records", SETTING_INT, AT(snapshot_records), "2000", 10,
	    1000000, "count", "records between two snapshots" },
	{ "drain-accept-ms", SETTING_INT, AT(drain_accept_ms), "3000", 0,
	    120000, "ms", "how long a draining daemon still accepts requests" },
	{ "body-bytes", SETTING_INT, AT(body_bytes), "1048576", 1024, 67108864,
	    "bytes", "largest request body" },
	{ "connections", SETTING_INT, AT(connections), "512", 8, 65536, "count",
	    "maximum of concurrent client connections" },
	{ "response-memory-mb", SETTING_INT, AT(response_memory_mb), "1024", 1,
	    1048576, "MB", "memory for responses that are being received" },
	{ "call-timeout-ms", SETTING_INT, AT(call_timeout_ms), "60000", 10,
	    3600000, "ms", "default deadline of a request" },
	{ "stall-ms", SETTING_INT, AT(stall_ms), "5000", 10, 600000, "ms",
	    "silence of an endpoint after which another is called" },
	{ "load-parallel", SETTING_INT, AT(load_parallel), "4", 1, 1000,
	    "count", "concurrent weight loads in this failure domain" },
	{ "dead-ms", SETTING_INT, AT(dead_ms), "7000", 100, 600000, "ms",
	    "silence after which a host counts as lost" },
	{ NULL, 0, 0, NULL, 0, 0, NULL, NULL },
};

/* Checks relations between settings that leases and evidence rely on. */
static bool
setting_check_rules(const struct settings *set, GError **error)
{
	if (set->lease_renew_ms * 2 > set->lease_hold_ms) {
		error_set(error, ERROR_BAD_SETTING,
		    "--lease-hold-ms: must be twice --lease-renew-ms or more");
		return (false);
	}
	if (set->lease_hold_ms * 3 / 2 > set->lease_wait_ms) {
		error_set(error, ERROR_BAD_SETTING,
		    "--lease-wait-ms: must be 1.5 times --lease-hold-ms or "
		    "more");
		return (false);
	}
	if (set->probe_ms * 2 > set->evidence_ms) {
		error_set(error, ERROR_BAD_SETTING,
		    "--evidence-ms: must be twice --probe-ms or more");
		return (false);
	}
	if (set->dead_ms < set->evidence_ms) {
		error_set(error, ERROR_BAD_SETTING,
		    "--dead-ms: must be --evidence-ms or more");
		return (false);
	}
	return (true);
}

/**
 * setting_parse() - read flags, then environment variables, then defaults.
 * @set: filled in; free with setting_free()
 * @argc: number of arguments
 * @argv: the arguments
 * @error: ERROR_BAD_SETTING with the setting and its allowed range
 */
bool
setting_parse(struct settings *set, int argc, const char **argv, GError **error)
{
	const struct setting_source source = { argc, argv, NULL };

	memset(set, 0, sizeof *set);
	return (setting_table_parse(setting_table, set, &source, &set->check,
		    error) &&
	    setting_check_rules(set, error));
}

/**
 * setting_free() - free the strings that setting_parse() allocated.
 * @set: the settings
 */
void
setting_free(struct settings *set)
{
	setting_table_free(setting_table, set);
}
