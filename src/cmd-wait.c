/* bankliftctl wait VERSION: until it is in force at every daemon given. */
#include <stdio.h>
#include <stdlib.h>

#include "cleanup.h"
#include "clock.h"
#include "cmd.h"

#define STEP_MS 50

/* The version in force at a daemon, -1 when it does not answer. */
static long long
in_force(const struct cmd_context *ctx, const char *base)
{
	CLEANUP(http_response_clear) struct http_response reply = { 0 };
	g_autofree char *url = g_strconcat(base, "/status", NULL);

	if (!http_client_send("GET", url, NULL, ctx->token, 1000, &reply,
		NULL) ||
	    reply.status != 200)
		return (-1);
	return (json_integer_value(json_object_get(reply.json, "in_force")));
}

static enum cmd_exit
cmd_wait_exec(const struct cmd_context *ctx)
{
	uint64_t began = clock_now_ms();
	long long version = atoll(ctx->args[0]);
	int behind;

	do {
		behind = 0;
		for (char **url = ctx->urls; *url != NULL; url++)
			behind += in_force(ctx, *url) < version;
		if (behind == 0) {
			printf("version %lld in force after %llu ms\n", version,
			    (unsigned long long)(clock_now_ms() - began));
			return (CMD_OK);
		}
		g_usleep(STEP_MS * 1000);
	} while (clock_now_ms() < began + (uint64_t)ctx->timeout_ms);
	fprintf(stderr, "bankliftctl: %d daemons are behind version %lld\n",
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
