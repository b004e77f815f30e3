/* Scripted tests: commands with expected output; each file is a CUnit test. */
#ifndef TESTS_SCRIPT_H
#define TESTS_SCRIPT_H

#include <glib.h>

/**
 * struct script_command - one command of a suite
 * @name: first word of the line
 * @exec: runs it with the rest of the line; appends its output
 */
struct script_command {
	const char *name;
	void (*exec)(const char *, GString *);
};

int script_main(const char *, const struct script_command *, void (*)(void));
guint64 script_number(const char *, const char *, guint64);
char *script_word(const char *, const char *);

#endif
