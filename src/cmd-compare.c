/* bankliftctl compare POLICY POLICY: metrics of two routing policies. */
#include <stdio.h>
#include <string.h>

#include "cmd.h"

/* The metrics to show; %s stands for the policy. */
static const char *const compared_metrics[] = {
	"requests_whole{policy=\"%s\"}",
	"requests_unknown{policy=\"%s\"}",
	"requests_not_run{policy=\"%s\"}",
	"endpoint_calls{policy=\"%s\"}",
	"first_byte_us{policy=\"%s\",quantile=\"0.5\"}",
	"first_byte_us{policy=\"%s\",quantile=\"0.95\"}",
	"first_byte_us{policy=\"%s\",quantile=\"0.99\"}",
	"gap_us{policy=\"%s\",quantile=\"0.95\"}",
	"gap_us{policy=\"%s\",quantile=\"0.99\"}",
	"total_us{policy=\"%s\",quantile=\"0.95\"}",
};

/* Returns the value of a metric of a policy, "-" if the page lacks it. */
static char *
metric_find(const char *page, const char *format, const char *policy)
{
	g_autofree char *label = g_strdup_printf("policy=\"%s\"", policy);
	g_auto(GStrv) parts = g_strsplit(format, "policy=\"%s\"", 2);
	g_autofree char *key =
	    g_strconcat("banklift_", parts[0], label, parts[1], " ", NULL);
	const char *pos = strstr(page, key);

	if (pos == NULL)
		return (g_strdup("-"));
	pos += strlen(key);
	return (g_strndup(pos, strcspn(pos, "\n")));
}

static void
print_comparison(const char *page, const char *const *policies)
{
	for (size_t i = 0; i < G_N_ELEMENTS(compared_metrics); i++) {
		g_autofree char *a =
		    metric_find(page, compared_metrics[i], policies[0]);
		g_autofree char *b =
		    metric_find(page, compared_metrics[i], policies[1]);
		g_auto(GStrv) parts =
		    g_strsplit(compared_metrics[i], "policy=\"%s\"", 2);
		g_autofree char *title = g_strconcat(parts[0], parts[1], NULL);

		printf("%-36s %16s %16s\n", title, a, b);
	}
}

static enum cmd_exit
cmd_compare_exec(const struct cmd_context *ctx)
{
	enum cmd_exit rc;

	for (char **url = ctx->urls; *url != NULL; url++) {
		g_autofree char *metrics = g_strconcat(*url, "/metrics", NULL);
		g_autoptr(GString) page = g_string_new(NULL);

		rc = cmd_page(ctx, metrics, page);
		if (rc != CMD_OK)
			return (rc);
		if (url == ctx->urls)
			printf("%-36s %16s %16s\n", "", ctx->args[0],
			    ctx->args[1]);
		if (ctx->urls[1] != NULL)
			printf("%s\n", *url);
		print_comparison(page->str, ctx->args);
	}
	return (CMD_OK);
}

const struct cmd_entry cmd_compare_entry = {
	.name = "compare",
	.usage = "POLICY POLICY",
	.help = "show two routing policies side by side from live metrics",
	.min_args = 2,
	.max_args = 2,
	.exec = cmd_compare_exec,
};
