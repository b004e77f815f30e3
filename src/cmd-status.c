/* bankliftctl status: shows a daemon's view of daemons and targets. */
#include <stdio.h>

#include "cleanup.h"
#include "cmd.h"

/* Prints the other daemons. APPLIED is the last offset applied. */
static void
print_members(json_t *members)
{
	const char *name, *domain;
	json_int_t applied, age;
	int live, leaving;
	json_t *item;
	size_t i;

	printf("\n%-20s %-16s %-8s %8s %8s\n", "DAEMON", "DOMAIN", "STATE",
	    "APPLIED", "AGE-MS");
	json_array_foreach(members, i, item) {
		if (json_unpack(item, "{s:s, s:s, s:b, s:b, s:I, s:I}", "name",
			&name, "domain", &domain, "live", &live, "leaving",
			&leaving, "applied", &applied, "age_ms", &age) == 0)
			printf("%-20s %-16s %-8s %8lld %8lld\n", name, domain,
			    leaving  ? "leaving" :
				live ? "live" :
				       "dead",
			    (long long)applied - 1, (long long)age);
	}
}

static void
print_targets(json_t *targets)
{
	const char *name, *domain;
	json_int_t epoch, age, inflight;
	json_t *item;
	int serving;
	size_t i;

	printf("\n%-28s %-16s %8s %-8s %8s %8s\n", "TARGET", "DOMAIN", "EPOCH",
	    "SERVING", "AGE-MS", "INFLIGHT");
	json_array_foreach(targets, i, item) {
		if (json_unpack(item, "{s:s, s:s, s:I, s:b, s:I, s:I}", "name",
			&name, "domain", &domain, "epoch", &epoch, "serving",
			&serving, "age_ms", &age, "inflight", &inflight) == 0)
			printf("%-28s %-16s %8lld %-8s %8lld %8lld\n", name,
			    domain, (long long)epoch, serving ? "yes" : "no",
			    (long long)age, (long long)inflight);
	}
}

static enum cmd_exit
cmd_status_exec(const struct cmd_context *ctx)
{
	CLEANUP(http_response_clear) struct http_response response = { 0 };
	const char *name, *domain, *digest;
	json_int_t applied, in_force, active;
	int ready, leaving, log_ok, controller;
	enum cmd_exit rc;

	rc = cmd_call(ctx, "GET", "/status", NULL, &response);
	if (rc != CMD_OK)
		return (rc);
	if (ctx->json) {
		cmd_print_json(response.json);
		return (CMD_OK);
	}
	if (json_unpack(response.json,
		"{s:s, s:s, s:s, s:I, s:I, s:I, s:b, s:b, s:b, s:b}", "name",
		&name, "domain", &domain, "digest", &digest, "applied",
		&applied, "in_force", &in_force, "active", &active, "ready",
		&ready, "leaving", &leaving, "log_ok", &log_ok, "controller",
		&controller) != 0)
		return (CMD_FAILED);
	printf("daemon %s in %s: %s, log %s%s\n"
	       "applied %lld, in force %lld, digest %s, %lld active\n",
	    name, domain,
	    leaving   ? "leaving" :
		ready ? "ready" :
			"starting",
	    log_ok ? "reached" : "not reached",
	    controller ? ", controls the domain" : "", (long long)applied,
	    (long long)in_force, digest, (long long)active);
	print_members(json_object_get(response.json, "members"));
	print_targets(json_object_get(response.json, "targets"));
	return (CMD_OK);
}

const struct cmd_entry cmd_status_entry = {
	.name = "status",
	.usage = "",
	.help = "show a daemon's view of daemons, replicas and endpoints",
	.exec = cmd_status_exec,
};
