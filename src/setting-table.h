/*
 * Settings from flags, environment variables and a file, described by a table.
 */
#ifndef BL_SETTING_TABLE_H
#define BL_SETTING_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Section of the settings file that is read. */
#define SETTING_FILE_GROUP "banklift"

/**
 * enum setting_kind - how a value is checked and stored.
 * @SETTING_STRING: any string
 * @SETTING_NAME: name of a resource
 * @SETTING_ADDRESS: IP address and port; may be empty if the default is
 * @SETTING_IP: IP address
 * @SETTING_LEVEL: log level
 * @SETTING_INT: integer, stored as int64_t
 * @SETTING_REAL: number, stored as double
 * @SETTING_MILLIS: milliseconds, rounded to an integer; stored as int64_t
 * @SETTING_BOOL: true or false, stored as bool
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
 * @name: name of the flag, from which the environment variable is derived
 * @kind: how the value is checked and stored
 * @offset: offset of the field in the program's struct
 * @default_value: used where no value is given; NULL when one is required
 * @min: minimum of a number
 * @max: maximum of a number
 * @unit: unit or form of the value, shown in help
 * @help: description, shown in help; secrets are to be given by environment or
 *	file
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
 * struct setting_source - where values are looked up, flags first.
 * @argc: number of arguments
 * @argv: the arguments
 * @file_setting: name of the setting with the path of the file, or NULL
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
