/* bankliftctl watch [VERSION]: prints changes as they are made. */
#include <stdio.h>

#include "cmd.h"

/* Prints what arrives and flushes it, so that a pipe gets a change at once. */
static size_t
watch_write(char *data, size_t size, size_t n, void *arg)
{
	fwrite(data, size, n, stdout);
	fflush(stdout);
	return (size * n);
}

static enum cmd_exit
cmd_watch_exec(const struct cmd_context *ctx)
{
	g_autofree char *url = NULL;

	url = g_strdup_printf("%s/api/v1/watch?from=%s", ctx->urls[0],
	    ctx->args[0] != NULL ? ctx->args[0] : "0");
	return (cmd_stream(ctx, url, watch_write, NULL));
}

const struct cmd_entry cmd_watch_entry = {
	.name = "watch",
	.usage = "[VERSION]",
	.help = "print changes after a version as they are made",
	.max_args = 1,
	.exec = cmd_watch_exec,
};
