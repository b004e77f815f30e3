/* bankliftctl wait VERSION: waits until all daemons given have it in force. */
#include <stdio.h>

#include "cleanup.h"
#include "clock.h"
#include "cmd.h"

/* Pause between two polls of the daemons. */
#define POLL_MS 50
/* Time limit of one request for a daemon's status. */
#define STATUS_TIMEOUT_MS 1000

/* Returns the version in force at a daemon, -1 if it does not respond. */
static long long
version_in_force(const struct cmd_context *ctx, const char *base)
{
	CLEANUP(http_response_clear) struct http_response response = { 0 };
	g_autofree char *url = g_strconcat(base, "/status", NULL);

	if (!http_client_send("GET", url, NULL, ctx->token, STATUS_TIMEOUT_MS,
		&response, NULL) ||
	    response.status != 200)
		return (-1);
	return (json_integer_value(json_object_get(response.json, "in_force")));
}

static enum cmd_exit
cmd_wait_exec(const struct cmd_context *ctx)
{
	uint64_t start_ms = clock_now_ms();
	long long version;
	guint64 number;
	int behind;

	if (!g_ascii_string_to_unsigned(ctx->args[0], 10, 0, G_MAXINT64,
		&number, NULL)) {
		fprintf(stderr, "bankliftctl: not a version: %s\n",
		    ctx->args[0]);
		return (CMD_USAGE);
	}
	version = (long long)number;
	do {
		behind = 0;
		for (char **url = ctx->urls; *url != NULL; url++)
			behind += version_in_force(ctx, *url) < version;
		if (behind == 0) {
			printf("version %lld in force after %llu ms\n", version,
			    (unsigned long long)(clock_now_ms() - start_ms));
			return (CMD_OK);
		}
		g_usleep(POLL_MS * 1000);
	} while (clock_now_ms() < start_ms + (uint64_t)ctx->timeout_ms);
	fprintf(stderr,
	    "bankliftctl: timeout: %d daemons are behind version %lld\n",
	    behind, version);
	return (CMD_TIMEOUT);
}

const struct cmd_entry cmd_wait_entry = {
	.name = "wait",
	.usage = "VERSION",
	.help = "wait until a version is in force at every daemon given",
	.min_args = 1,
	.max_args = 1,
	.exec = cmd_wait_exec,
};
