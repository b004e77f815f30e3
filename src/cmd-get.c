/* bankliftctl get TYPE [NAME]: shows resources, or groups of hosts. */
#include <stdio.h>

#include "cleanup.h"
#include "cmd.h"

/* Prints a resource, or a group, which has an epoch and hosts instead. */
static void
print_row(json_t *item)
{
	json_t *version = json_object_get(item, "version");
	json_t *content = json_object_get(item, "spec");
	g_autofree char *text = NULL;

	if (version == NULL) {
		version = json_object_get(item, "epoch");
		content = json_object_get(item, "hosts");
	}
	text = json_dumps(content, JSON_COMPACT | JSON_SORT_KEYS);
	printf("%-32s %8lld  %s\n",
	    json_string_value(json_object_get(item, "name")),
	    (long long)json_integer_value(version), text);
}

static enum cmd_exit
cmd_get_exec(const struct cmd_context *ctx)
{
	CLEANUP(http_response_clear) struct http_response response = { 0 };
	g_autofree char *path = NULL;
	enum cmd_exit rc;
	json_t *item;
	size_t i;

	path = g_strjoin("/", "/api/v1", ctx->args[0], ctx->args[1], NULL);
	rc = cmd_call(ctx, "GET", path, NULL, &response);
	if (rc != CMD_OK)
		return (rc);
	if (ctx->json) {
		cmd_print_json(response.json);
		return (CMD_OK);
	}
	printf("%-32s %8s  %s\n", "NAME", "VERSION", "SPEC");
	if (ctx->args[1] != NULL)
		print_row(response.json);
	json_array_foreach(json_object_get(response.json, "items"), i, item)
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
