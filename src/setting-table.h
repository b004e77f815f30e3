/* Tables of settings: each gives flags, environment, a file and checks. */
#ifndef BL_SETTING_TABLE_H
#define BL_SETTING_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Group of a settings file that holds the settings. */
#define SETTING_FILE_GROUP "banklift"

/**
 * enum setting_kind - how a value is checked and kept.
 * @SETTING_STRING: any text
 * @SETTING_NAME: name of a resource
 * @SETTING_ADDRESS: IP number and port
 * @SETTING_IP: IP number
 * @SETTING_LEVEL: level of the log
 * @SETTING_INT: whole number, kept as int64_t
 * @SETTING_REAL: number, kept as double
 * @SETTING_MILLIS: milliseconds, a fraction is rounded; kept as int64_t
 * @SETTING_BOOL: true or false
 */
enum setting_kind {
	SETTING_STRING,
	SETTING_NAME,
	SETTING_ADDRESS,
	SETTING_IP,
	SETTING_LEVEL,
	SETTING_INT,
	SETTING_REAL,
	SETTING_MILLIS,
	SETTING_BOOL,
};

/**
 * struct setting - one setting; a table of them ends with a NULL name.
 * @name: of the flag; the environment variable follows from it
 * @kind: how the value is checked and kept
 * @offset: of the field in the program's struct
 * @default_value: value where none is given; NULL when required
 * @min: least value of any number
 * @max: largest value of any number
 * @unit: shown in help
 * @help: shown in help; secrets come from the environment or the file
 */
struct setting {
	const char *name;
	enum setting_kind kind;
	size_t offset;
	const char *default_value;
	int64_t min;
	int64_t max;
	const char *unit;
	const char *help;
};

/**
 * struct setting_source - where values are looked for, flags first.
 * @argc: count of arguments
 * @argv: the arguments
 * @file_setting: name of the setting that holds a file's path, or NULL
 */
struct setting_source {
	int argc;
	const char **argv;
	const char *file_setting;
};

bool setting_table_parse(const struct setting *, void *,
    const struct setting_source *, bool *, GError **);
void setting_table_free(const struct setting *, void *);
bool setting_split_address(const char *, char **, uint16_t *);

#endif
