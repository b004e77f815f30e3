/* bankliftctl: command-line tool for operators. */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd.h"

/* Time limit of calls and waiting without --timeout. */
#define DEFAULT_TIMEOUT_MS 10000

static const struct cmd_entry *const cmd_table[] = {
	&cmd_account_entry,
	&cmd_apply_entry,
	&cmd_compare_entry,
	&cmd_delete_entry,
	&cmd_estimates_entry,
	&cmd_explain_entry,
	&cmd_get_entry,
	&cmd_levels_entry,
	&cmd_status_entry,
	&cmd_wait_entry,
	&cmd_watch_entry,
	NULL,
};

static const struct cmd_entry *
cmd_find(const char *name)
{
	for (size_t i = 0; cmd_table[i] != NULL; i++) {
		if (strcmp(cmd_table[i]->name, name) == 0)
			return (cmd_table[i]);
	}
	return (NULL);
}

static enum cmd_exit
usage(void)
{
	fprintf(stderr, "usage: bankliftctl [options] command [arguments]\n");
	for (size_t i = 0; cmd_table[i] != NULL; i++)
		fprintf(stderr, "  %-10s%-16s%s\n", cmd_table[i]->name,
		    cmd_table[i]->usage, cmd_table[i]->help);
	fprintf(stderr, "bankliftctl --help shows the options.\n");
	return (CMD_USAGE);
}

/* Runs the command named by the first argument. */
static enum cmd_exit
run(struct cmd_context *ctx, const char **args)
{
	static const char *none[] = { NULL, NULL, NULL };
	const struct cmd_entry *cmd;
	int n = 0;

	cmd = args != NULL && args[0] != NULL ? cmd_find(args[0]) : NULL;
	if (cmd == NULL)
		return (usage());
	while (args[n + 1] != NULL)
		n++;
	if (n < cmd->min_args || n > cmd->max_args) {
		fprintf(stderr, "usage: bankliftctl %s %s\n", cmd->name,
		    cmd->usage);
		return (CMD_USAGE);
	}
	ctx->args = n > 0 ? args + 1 : none;
	return (cmd->exec(ctx));
}

int
main(int argc, const char **argv)
{
	struct cmd_context ctx = { .base = -1,
		.timeout_ms = DEFAULT_TIMEOUT_MS };
	char *server = NULL, *file = NULL;
	int json = 0, rc;
	struct poptOption options[] = {
		{ "server", 's', POPT_ARG_STRING, &server, 0,
		    "operator addresses of daemons (BANKLIFT_SERVER)",
		    "url,..." },
		{ "file", 'f', POPT_ARG_STRING, &file, 0,
		    "file of resources to apply", "path" },
		{ "json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", NULL },
		{ "base", 'b', POPT_ARG_LONGLONG, &ctx.base, 0,
		    "version that the change is based on", "version" },
		{ "timeout", 't', POPT_ARG_INT, &ctx.timeout_ms, 0,
		    "time limit of calls and waits", "ms" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context;

	context = poptGetContext(NULL, argc, argv, options, 0);
	poptSetOtherOptionHelp(context, "[options] command [arguments]");
	rc = poptGetNextOpt(context);
	if (rc < -1) {
		fprintf(stderr, "bankliftctl: %s: %s\n",
		    poptBadOption(context, 0), poptStrerror(rc));
		poptFreeContext(context);
		return (CMD_USAGE);
	}
	if (server == NULL)
		server = g_strdup(g_getenv("BANKLIFT_SERVER"));
	ctx.urls = g_strsplit(server != NULL ? server : "http://127.0.0.1:8081",
	    ",", -1);
	ctx.token = g_getenv("BANKLIFT_OPERATOR_TOKEN");
	if (ctx.token == NULL)
		ctx.token = "";
	ctx.file = file;
	ctx.json = json != 0;
	rc = (int)run(&ctx, poptGetArgs(context));
	poptFreeContext(context);
	g_strfreev(ctx.urls);
	free(server);
	free(file);
	return (rc);
}
