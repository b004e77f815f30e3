/* The commands of bankliftctl: a table entry and a file for each. */
#ifndef BL_CMD_H
#define BL_CMD_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "http-client.h"

/* Exit codes, as in the man page. */
enum cmd_exit {
	CMD_OK = 0,
	CMD_FAILED = 1,
	CMD_USAGE = 2,
	CMD_CONFLICT = 3,
	CMD_NOT_FOUND = 4,
	CMD_UNAVAILABLE = 5,
	CMD_TIMEOUT = 6,
};

/**
 * struct cmd_context - what the command line says.
 * @urls: operator addresses of daemons; the first one is used, wait uses all
 * @token: the operators' token
 * @file: file to read, or NULL
 * @json: print JSON rather than a table
 * @base: version that a change is based on, -1 for whatever is current
 * @timeout_ms: bound on waiting, in milliseconds
 * @args: arguments of the command, ended by NULL
 */
struct cmd_context {
	char **urls;
	const char *token;
	const char *file;
	bool json;
	long long base;
	int timeout_ms;
	const char **args;
};

/**
 * struct cmd_entry - one command.
 * @name: its name
 * @usage: its arguments
 * @help: one line
 * @min_args: least number of arguments
 * @max_args: most
 * @exec: carries it out
 */
struct cmd_entry {
	const char *name;
	const char *usage;
	const char *help;
	int min_args;
	int max_args;
	enum cmd_exit (*exec)(const struct cmd_context *);
};

extern const struct cmd_entry cmd_account_entry;
extern const struct cmd_entry cmd_apply_entry;
extern const struct cmd_entry cmd_compare_entry;
extern const struct cmd_entry cmd_delete_entry;
extern const struct cmd_entry cmd_explain_entry;
extern const struct cmd_entry cmd_get_entry;
extern const struct cmd_entry cmd_status_entry;
extern const struct cmd_entry cmd_wait_entry;
extern const struct cmd_entry cmd_watch_entry;

enum cmd_exit cmd_call(const struct cmd_context *, const char *, const char *,
    json_t *, struct http_response *);
enum cmd_exit cmd_stream(const struct cmd_context *, const char *,
    size_t (*)(char *, size_t, size_t, void *), void *);
enum cmd_exit cmd_report_error(const struct http_response *);
void cmd_print_json(json_t *);

#endif
