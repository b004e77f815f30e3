/* Lines of logs, for the commands that read them. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd-log-line.h"

/**
 * log_line_clear() - free what a line holds.
 * @data: the struct log_line
 */
void
log_line_clear(void *data)
{
	struct log_line *line = data;

	g_free(line->text);
}

/**
 * log_line_get() - the value of a key in a line.
 * @text: the line
 * @key: the key
 *
 * Return: the value, to be freed; NULL where it has none.
 */
char *
log_line_get(const char *text, const char *key)
{
	g_autofree char *start = g_strdup_printf(" %s=", key);
	const char *at = strstr(text, start);

	if (at == NULL)
		return (NULL);
	at += strlen(start);
	return (g_strndup(at, strcspn(at, " \n")));
}

/**
 * log_line_has() - whether a key has a value in a line.
 * @text: the line
 * @key: the key
 * @value: the value
 */
bool
log_line_has(const char *text, const char *key, const char *value)
{
	g_autofree char *found = log_line_get(text, key);

	return (g_strcmp0(found, value) == 0);
}

/**
 * log_line_compare_time() - order of two lines, for sorting.
 * @a: a struct log_line
 * @b: another
 */
int
log_line_compare_time(const void *a, const void *b)
{
	const struct log_line *x = a, *y = b;

	return (x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms);
}

/* Reads all lines of a log that have a time; false where it can't be read. */
static bool
file_read(GArray *lines, const char *path)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char *text = NULL;
	size_t room = 0;

	if (f == NULL) {
		fprintf(stderr, "bankliftctl: can't read %s\n", path);
		return (false);
	}
	while (getline(&text, &room, f) > 0) {
		struct log_line line = { .source = path };
		g_autofree char *at = log_line_get(text, "at");

		if (at == NULL)
			continue;
		line.at_ms = strtoll(at, NULL, 10);
		line.text = g_strdup(g_strchomp(text));
		g_array_append_val(lines, line);
	}
	free(text);
	if (f != stdin)
		fclose(f);
	return (true);
}

/**
 * log_files_read() - read all lines of some logs that have a time.
 * @lines: of struct log_line; appended to
 * @files: paths, ended by NULL; "-", or none at all, is standard input
 *
 * Return: false where one can't be read; that was said on standard error.
 */
bool
log_files_read(GArray *lines, const char *const *files)
{
	bool ok = true;

	if (files[0] == NULL)
		return (file_read(lines, "-"));
	for (size_t i = 0; ok && files[i] != NULL; i++)
		ok = file_read(lines, files[i]);
	return (ok);
}
