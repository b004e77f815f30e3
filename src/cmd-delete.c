/* bankliftctl delete TYPE NAME */
#include <stdio.h>

#include "cleanup.h"
#include "cmd.h"

static enum cmd_exit
cmd_delete_exec(const struct cmd_context *ctx)
{
	CLEANUP(http_response_clear) struct http_response reply = { 0 };
	g_autofree char *path = NULL;
	enum cmd_exit rc;

	if (ctx->base >= 0)
		path = g_strdup_printf("/api/v1/%s/%s?base=%lld", ctx->args[0],
		    ctx->args[1], ctx->base);
	else
		path = g_strdup_printf("/api/v1/%s/%s", ctx->args[0],
		    ctx->args[1]);
	rc = cmd_call(ctx, "DELETE", path, NULL, &reply);
	if (rc == CMD_OK)
		printf("%s/%s deleted\n", ctx->args[0], ctx->args[1]);
	return (rc);
}

const struct cmd_entry cmd_delete_entry = {
	.name = "delete",
	.usage = "TYPE NAME",
	.help = "delete a resource",
	.min_args = 2,
	.max_args = 2,
	.exec = cmd_delete_exec,
};
