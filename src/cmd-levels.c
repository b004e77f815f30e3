/* bankliftctl levels: who is refused, from live metrics of banklift-edge. */
#include <stdio.h>
#include <string.h>

#include "cmd.h"

/* Returns the value of a label in a line of metrics, "-" if it has none. */
static char *
label_get(const char *line, const char *label)
{
	g_autofree char *key = g_strconcat(label, "=\"", NULL);
	const char *pos = strstr(line, key);
	size_t length;

	if (pos == NULL)
		return (g_strdup("-"));
	pos += strlen(key);
	length = strcspn(pos, "\"");
	return (length > 0 ? g_strndup(pos, length) : g_strdup("-"));
}

/* Prints the lines of a metric: two labels and the value. */
static void
print_metric(char **lines, const char *title, const char *metric,
    const char *second)
{
	g_autofree char *prefix = g_strconcat("banklift_", metric, "{", NULL);

	printf("%-24s %-24s %16s\n", "SERVICE", second, title);
	for (char **line = lines; *line != NULL; line++) {
		g_autofree char *name = NULL, *service = NULL;
		g_autofree char *label = g_ascii_strdown(second, -1);
		const char *value = strrchr(*line, ' ');

		if (!g_str_has_prefix(*line, prefix) || value == NULL)
			continue;
		service = label_get(*line, "service");
		name = label_get(*line, label);
		printf("%-24s %-24s %16s\n", service, name, value + 1);
	}
	printf("\n");
}

static enum cmd_exit
cmd_levels_exec(const struct cmd_context *ctx)
{
	g_autofree char *url = g_strconcat(ctx->urls[0], "/metrics", NULL);
	g_autoptr(GString) page = g_string_new(NULL);
	enum cmd_exit rc = cmd_page(ctx, url, page);
	g_auto(GStrv) lines = g_strsplit(page->str, "\n", -1);

	if (rc != CMD_OK)
		return (rc);
	print_metric(lines, "LEVEL", "level", "MODEL");
	print_metric(lines, "ROOM", "room", "MODEL");
	print_metric(lines, "PER-S", "customer_share", "CUSTOMER");
	return (CMD_OK);
}

const struct cmd_entry cmd_levels_entry = {
	.name = "levels",
	.usage = "",
	.help =
	    "show which requests banklift-edge refuses, at its metrics address",
	.min_args = 0,
	.max_args = 0,
	.exec = cmd_levels_exec,
};
