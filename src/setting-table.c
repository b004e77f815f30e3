/*
 * Settings from flags, environment variables and a file, described by a table.
 */
#include <popt.h>
#include <math.h>
#include <string.h>

#include "error.h"
#include "event-log.h"
#include "resource-check.h"
#include "setting-table.h"

/* Bound on the options of a table, with --check, help and the terminator. */
#define SETTING_MAX 64
#define ENV_PREFIX "BANKLIFT_"

/* Returns the environment variable of a setting; free with g_free(). */
static char *
setting_env_name(const struct setting *s)
{
	g_autofree char *upper = g_ascii_strup(s->name, -1);

	g_strdelimit(upper, "-", '_');
	return (g_strconcat(ENV_PREFIX, upper, NULL));
}

/**
 * setting_split_address() - split "ip:port".
 * @text: IP address and port
 * @ip: set to the IP address; free with g_free()
 * @port: set to the port
 *
 * Return: false, with nothing to free, when @text is not an address and port.
 */
bool
setting_split_address(const char *text, char **ip, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	guint64 n;

	if (colon == NULL || colon == text ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &n, NULL))
		return (false);
	*ip = g_strndup(text, colon - text);
	*port = (uint16_t)n;
	if (g_hostname_is_ip_address(*ip))
		return (true);
	g_clear_pointer(ip, g_free);
	return (false);
}

/* Sets an error that names the setting; returns false. */
static bool
setting_error(const struct setting *s, GError **error, const char *reason)
{
	error_set(error, ERROR_BAD_SETTING, "--%s: %s", s->name, reason);
	return (false);
}

static bool
setting_check_address(const struct setting *s, const char *value,
    GError **error)
{
	g_autofree char *ip = NULL;
	uint16_t port;

	if (setting_split_address(value, &ip, &port))
		return (true);
	return (setting_error(s, error, "must be an IP number and port"));
}

/* Sets an error with the allowed range; returns false. */
static bool
setting_range_error(const struct setting *s, GError **error)
{
	g_autofree char *reason = g_strdup_printf("must be %" G_GINT64_FORMAT
						  " to %" G_GINT64_FORMAT " %s",
	    (gint64)s->min, (gint64)s->max, s->unit);

	return (setting_error(s, error, reason));
}

static bool
setting_store_int(const struct setting *s, void *set, const char *value,
    GError **error)
{
	gint64 n;

	if (!g_ascii_string_to_signed(value, 10, s->min, s->max, &n, NULL))
		return (setting_range_error(s, error));
	*(int64_t *)((char *)set + s->offset) = n;
	return (true);
}

/* Parses a number, which installations may write with fraction or exponent. */
static bool
setting_read_number(const struct setting *s, const char *value, double *n,
    GError **error)
{
	char *end;

	*n = g_ascii_strtod(value, &end);
	if (end != value && *end == '\0' && *n >= (double)s->min &&
	    *n <= (double)s->max)
		return (true);
	return (setting_range_error(s, error));
}

static bool
setting_store_real(const struct setting *s, void *set, const char *value,
    GError **error)
{
	double n;

	if (!setting_read_number(s, value, &n, error))
		return (false);
	memcpy((char *)set + s->offset, &n, sizeof n);
	return (true);
}

/* Stores whole milliseconds, as no timer is finer. */
static bool
setting_store_millis(const struct setting *s, void *set, const char *value,
    GError **error)
{
	double n;

	if (!setting_read_number(s, value, &n, error))
		return (false);
	*(int64_t *)((char *)set + s->offset) = llround(n);
	return (true);
}

static bool
setting_store_bool(const struct setting *s, void *set, const char *value,
    GError **error)
{
	bool on = strcmp(value, "true") == 0;

	if (!on && strcmp(value, "false") != 0)
		return (setting_error(s, error, "must be true or false"));
	*(bool *)((char *)set + s->offset) = on;
	return (true);
}

/* Checks a value and stores it in the field of its setting. */
static bool
setting_store(const struct setting *s, void *set, const char *value,
    GError **error)
{
	if (value == NULL)
		return (setting_error(s, error, "is required"));
	switch (s->kind) {
	case SETTING_INT:
		return (setting_store_int(s, set, value, error));
	case SETTING_REAL:
		return (setting_store_real(s, set, value, error));
	case SETTING_MILLIS:
		return (setting_store_millis(s, set, value, error));
	case SETTING_BOOL:
		return (setting_store_bool(s, set, value, error));
	case SETTING_ADDRESS:
		if (value[0] == '\0' && g_strcmp0(s->default_value, "") == 0)
			break;
		if (!setting_check_address(s, value, error))
			return (false);
		break;
	case SETTING_IP:
		if (!g_hostname_is_ip_address(value))
			return (
			    setting_error(s, error, "must be an IP number"));
		break;
	case SETTING_NAME:
		if (!resource_check_name(value, NULL))
			return (setting_error(s, error,
			    "must be 1 to 63 of a-z, 0-9 and -"));
		break;
	case SETTING_LEVEL:
		if (event_log_level(value) < 0)
			return (setting_error(s, error, "unknown level"));
		break;
	case SETTING_STRING:
		break;
	}
	*(char **)((char *)set + s->offset) = g_strdup(value);
	return (true);
}

/* Fills in the popt options; values are set in the order of the table. */
static void
setting_fill_options(const struct setting *table, struct poptOption *options,
    char **values, int *check)
{
	const struct poptOption help[] = { POPT_AUTOHELP POPT_TABLEEND };
	size_t i;

	for (i = 0; table[i].name != NULL; i++) {
		options[i].longName = table[i].name;
		options[i].argInfo = POPT_ARG_STRING;
		options[i].arg = &values[i];
		options[i].descrip = table[i].help;
		options[i].argDescrip = table[i].unit;
	}
	options[i].longName = "check";
	options[i].argInfo = POPT_ARG_NONE;
	options[i].arg = check;
	options[i].descrip = "check the settings and exit";
	options[i + 1] = help[0];
}

/* Parses the command line into values. */
static bool
setting_read_flags(const struct setting *table,
    const struct setting_source *source, char **values, int *check,
    GError **error)
{
	struct poptOption options[SETTING_MAX] = { { 0 } };
	poptContext context;
	bool ok = true;
	int rc;

	setting_fill_options(table, options, values, check);
	context = poptGetContext(NULL, source->argc, source->argv, options, 0);
	rc = poptGetNextOpt(context);
	if (rc < -1) {
		error_set(error, ERROR_BAD_SETTING, "%s: %s",
		    poptBadOption(context, 0), poptStrerror(rc));
		ok = false;
	} else if (poptPeekArg(context) != NULL) {
		error_set(error, ERROR_BAD_SETTING, "%s: unexpected argument",
		    poptPeekArg(context));
		ok = false;
	}
	poptFreeContext(context);
	return (ok);
}

/* Returns the value of the first that has one, of flag, environment, file and
 * default; NULL if none has. */
static char *
setting_find(const struct setting *s, const char *flag, GKeyFile *file)
{
	g_autofree char *env = setting_env_name(s);
	char *value = NULL;

	if (flag != NULL)
		return (g_strdup(flag));
	if (g_getenv(env) != NULL)
		return (g_strdup(g_getenv(env)));
	if (file != NULL)
		value = g_key_file_get_string(file, SETTING_FILE_GROUP, s->name,
		    NULL);
	/* Files made from a template have empty values for unused settings. */
	if (value != NULL && value[0] == '\0')
		g_clear_pointer(&value, g_free);
	return (value != NULL ? value : g_strdup(s->default_value));
}

/* Loads the file named by a setting; *file stays NULL when none is named. */
static bool
setting_open_file(const struct setting *table, const char *name,
    char *const *values, GKeyFile **file, GError **error)
{
	for (size_t i = 0; name != NULL && table[i].name != NULL; i++) {
		g_autofree char *path = NULL;

		if (strcmp(table[i].name, name) != 0)
			continue;
		path = setting_find(&table[i], values[i], NULL);
		if (path == NULL || path[0] == '\0')
			return (true);
		*file = g_key_file_new();
		return (g_key_file_load_from_file(*file, path, G_KEY_FILE_NONE,
		    error));
	}
	return (true);
}

/**
 * setting_table_parse() - read flags, then environment, file and defaults.
 * @table: the settings
 * @set: struct to fill in by the offsets; free with setting_table_free()
 * @source: where values are looked up
 * @check: set to whether --check was given
 * @error: ERROR_BAD_SETTING with the setting and its allowed range, or GLib's
 *	error if the file cannot be read
 */
bool
setting_table_parse(const struct setting *table, void *set,
    const struct setting_source *source, bool *check, GError **error)
{
	char *values[SETTING_MAX] = { NULL };
	g_autoptr(GKeyFile) file = NULL;
	int check_flag = 0;
	bool ok;

	ok = setting_read_flags(table, source, values, &check_flag, error) &&
	    setting_open_file(table, source->file_setting, values, &file,
		error);
	for (size_t i = 0; ok && table[i].name != NULL; i++) {
		g_autofree char *value =
		    setting_find(&table[i], values[i], file);

		ok = setting_store(&table[i], set, value, error);
	}
	for (size_t i = 0; i < SETTING_MAX; i++)
		free(values[i]);
	*check = check_flag != 0;
	return (ok);
}

/* Whether values of a kind are stored as allocated strings. */
static bool
setting_is_string(enum setting_kind kind)
{
	switch (kind) {
	case SETTING_STRING:
	case SETTING_NAME:
	case SETTING_ADDRESS:
	case SETTING_IP:
	case SETTING_LEVEL:
		return (true);
	case SETTING_INT:
	case SETTING_REAL:
	case SETTING_MILLIS:
	case SETTING_BOOL:
		return (false);
	}
	return (false);
}

/**
 * setting_table_free() - free the strings that setting_table_parse() allocated.
 * @table: the settings
 * @set: the struct that was filled in
 */
void
setting_table_free(const struct setting *table, void *set)
{
	for (const struct setting *s = table; s->name != NULL; s++) {
		if (setting_is_string(s->kind))
			g_free(*(char **)((char *)set + s->offset));
	}
}
