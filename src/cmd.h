/* The commands of bankliftctl; each has a file with its table entry. */
#ifndef BL_CMD_H
#define BL_CMD_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "http-client.h"

/* Exit codes, as documented in the man page. */
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
 * struct cmd_context - options and arguments of the command line.
 * @urls: operator addresses of daemons, terminated by NULL; wait and compare
 *	use all of them, the other commands the first one
 * @token: the operators' token
 * @file: file of resources, or NULL
 * @json: print JSON rather than a table
 * @base: version that a change is based on, -1 for the current one
 * @timeout_ms: time limit of a call or of waiting, in ms
 * @args: arguments of the command, terminated by NULL
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
 * @name: name on the command line
 * @usage: synopsis of its arguments
 * @help: one-line description
 * @min_args: minimum number of arguments
 * @max_args: maximum number of arguments
 * @exec: runs it and returns the exit code
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
extern const struct cmd_entry cmd_estimates_entry;
extern const struct cmd_entry cmd_explain_entry;
extern const struct cmd_entry cmd_get_entry;
extern const struct cmd_entry cmd_levels_entry;
extern const struct cmd_entry cmd_status_entry;
extern const struct cmd_entry cmd_wait_entry;
extern const struct cmd_entry cmd_watch_entry;

enum cmd_exit cmd_call(const struct cmd_context *, const char *, const char *,
    json_t *, struct http_response *);
enum cmd_exit cmd_stream(const struct cmd_context *, const char *,
    size_t (*)(char *, size_t, size_t, void *), void *);
enum cmd_exit cmd_page(const struct cmd_context *, const char *, GString *);
enum cmd_exit cmd_report_error(const struct http_response *);
void cmd_print_json(json_t *);

#endif
