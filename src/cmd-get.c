/* bankliftctl get TYPE [NAME] */
#include <stdio.h>

#include "cleanup.h"
#include "cmd.h"

static void
print_row(json_t *item)
{
	json_t *version = json_object_get(item, "version");
	json_t *shown = json_object_get(item, "spec");
	g_autofree char *text = NULL;

	if (version == NULL) {
		version = json_object_get(item, "epoch");
		shown = json_object_get(item, "hosts");
	}
	text = json_dumps(shown, JSON_COMPACT | JSON_SORT_KEYS);
	printf("%-32s %8lld  %s\n",
	    json_string_value(json_object_get(item, "name")),
	    (long long)json_integer_value(version), text);
}

static enum cmd_exit
cmd_get_exec(const struct cmd_context *ctx)
{
	CLEANUP(http_response_clear) struct http_response reply = { 0 };
	g_autofree char *path = NULL;
	enum cmd_exit rc;
	json_t *item;
	size_t i;

	path = g_strjoin("/", "/api/v1", ctx->args[0], ctx->args[1], NULL);
	rc = cmd_call(ctx, "GET", path, NULL, &reply);
	if (rc != CMD_OK)
		return (rc);
	if (ctx->json) {
		cmd_print_json(reply.json);
		return (CMD_OK);
	}
	printf("%-32s %8s  %s\n", "NAME", "VERSION", "SPEC");
	if (ctx->args[1] != NULL)
		print_row(reply.json);
	json_array_foreach(json_object_get(reply.json, "items"), i, item)
		print_row(item);
	return (CMD_OK);
}

const struct cmd_entry cmd_get_entry = {
	.name = "get",
	.usage = "TYPE [NAME]",
	.help = "show resources of a type, or groups",
	.min_args = 1,
	.max_args = 2,
	.exec = cmd_get_exec,
};
