/* bankliftctl apply -f FILE: create or change the resources of a file. */
#include <stdio.h>

#include "cleanup.h"
#include "cmd.h"

/* Applies one resource: {"type", "name", "spec"} and perhaps "version". */
static enum cmd_exit
apply_one(const struct cmd_context *ctx, json_t *item)
{
	CLEANUP(http_response_clear) struct http_response reply = { 0 };
	g_autofree char *path = NULL;
	json_auto_t *body = NULL;
	const char *type, *name;
	json_int_t base = ctx->base;
	enum cmd_exit rc;
	json_t *spec;

	if (json_unpack(item, "{s:s, s:s, s:o, s?I}", "type", &type, "name",
		&name, "spec", &spec, "version", &base) != 0) {
		fprintf(stderr,
		    "bankliftctl: a resource needs type, name and "
		    "spec\n");
		return (CMD_USAGE);
	}
	path = g_strdup_printf("/api/v1/%s/%s", type, name);
	body = json_pack("{s:O, s:I}", "spec", spec, "base", base);
	rc = cmd_call(ctx, "PUT", path, body, &reply);
	if (rc == CMD_OK)
		printf("%s/%s version %lld\n", type, name,
		    (long long)json_integer_value(
			json_object_get(reply.json, "version")));
	return (rc);
}

static enum cmd_exit
cmd_apply_exec(const struct cmd_context *ctx)
{
	json_auto_t *file = NULL;
	json_error_t error;
	enum cmd_exit rc;
	json_t *item;
	size_t i;

	if (ctx->file == NULL) {
		fprintf(stderr, "bankliftctl: apply needs -f FILE\n");
		return (CMD_USAGE);
	}
	file = json_load_file(ctx->file, JSON_REJECT_DUPLICATES, &error);
	if (file == NULL) {
		fprintf(stderr, "bankliftctl: %s:%d: %s\n", ctx->file,
		    error.line, error.text);
		return (CMD_USAGE);
	}
	if (json_is_object(file))
		return (apply_one(ctx, file));
	json_array_foreach(file, i, item) {
		rc = apply_one(ctx, item);
		if (rc != CMD_OK)
			return (rc);
	}
	return (CMD_OK);
}

const struct cmd_entry cmd_apply_entry = {
	.name = "apply",
	.usage = "-f FILE",
	.help = "create or change the resources of a file, in its order",
	.exec = cmd_apply_exec,
};
