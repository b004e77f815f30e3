/* Log lines of key=value pairs, for the commands that read logs. */
#ifndef BL_CMD_LOG_LINE_H
#define BL_CMD_LOG_LINE_H

#include <glib.h>
#include <stdbool.h>

/**
 * struct log_line - one line of a log.
 * @at_ms: time of writing, the value of its key "at"
 * @text: the line without its newline, owned
 * @source: path of the file, not owned
 */
struct log_line {
	long long at_ms;
	char *text;
	const char *source;
};

char *log_line_get(const char *, const char *);
bool log_line_has(const char *, const char *, const char *);
int log_line_compare_time(const void *, const void *);
GArray *log_files_read(const char *const *);

#endif
