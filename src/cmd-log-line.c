/* Log lines of key=value pairs, for the commands that read logs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd-log-line.h"

/* Frees the text of a line; a GDestroyNotify for arrays. */
static void
log_line_clear(void *data)
{
	struct log_line *line = data;

	g_free(line->text);
}

/**
 * log_line_get() - look up a key in a line.
 * @text: text of the line
 * @key: the key
 *
 * Return: the value, to be freed with g_free(); NULL if the line lacks the key.
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
 * log_line_has() - whether a line has a key with the given value.
 * @text: text of the line
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
 * log_line_compare_time() - order two lines by time, as a GCompareFunc.
 * @a: a struct log_line
 * @b: another one
 *
 * Return: -1, 0 or 1.
 */
int
log_line_compare_time(const void *a, const void *b)
{
	const struct log_line *x = a, *y = b;

	return (x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms);
}

/* Appends the lines of a log that have a time; false if it can't be opened. */
static bool
log_file_read(GArray *lines, const char *path)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char *text = NULL;
	size_t capacity = 0;

	if (f == NULL) {
		fprintf(stderr, "bankliftctl: cannot open %s\n", path);
		return (false);
	}
	while (getline(&text, &capacity, f) > 0) {
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
 * log_files_read() - read the lines of logs that have a time.
 * @files: paths, terminated by NULL; "-", or an empty list, is standard input
 *
 * Return: array of struct log_line, to be freed by g_array_unref(); NULL if a
 * file can't be opened, after a message on standard error.
 */
GArray *
log_files_read(const char *const *files)
{
	g_autoptr(GArray) lines =
	    g_array_new(FALSE, FALSE, sizeof(struct log_line));
	bool ok = true;

	g_array_set_clear_func(lines, log_line_clear);
	if (files[0] == NULL)
		ok = log_file_read(lines, "-");
	for (size_t i = 0; ok && files[i] != NULL; i++)
		ok = log_file_read(lines, files[i]);
	return (ok ? g_steal_pointer(&lines) : NULL);
}
