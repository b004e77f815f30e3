/* Lines of logs, for the commands that read them. */
#ifndef BL_CMD_LOG_LINE_H
#define BL_CMD_LOG_LINE_H

#include <glib.h>
#include <stdbool.h>

/**
 * struct log_line - one line of a log.
 * @at_ms: when it was written
 * @text: the line
 * @source: the file
 */
struct log_line {
	long long at_ms;
	char *text;
	const char *source;
};

void log_line_clear(void *);
char *log_line_get(const char *, const char *);
bool log_line_has(const char *, const char *, const char *);
int log_line_compare_time(const void *, const void *);
bool log_files_read(GArray *, const char *const *);

#endif
