/*
 * Scripted tests. A script is tests/scripts/SUITE-NAME.txt: commands, one per
 * line, each followed by its expected output, with "> " before each line.
 * Empty lines and lines that begin with '#' are comments.
 */
#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#include "script.h"

#define SCRIPTS "tests/scripts"
#define EXPECTED "> "

static const struct script_command *script_table;
static void (*script_reset)(void);
static GPtrArray *script_files;
static guint script_at;

static void
run_command(const char *line, GString *out)
{
	size_t len = strcspn(line, " ");
	const char *rest = line + len + strspn(line + len, " ");

	for (const struct script_command *c = script_table; c->name != NULL;
	     c++) {
		if (strlen(c->name) == len &&
		    strncmp(c->name, line, len) == 0) {
			c->exec(rest, out);
			return;
		}
	}
	g_string_append_printf(out, "unknown command\n");
}

/* Compares a command's output with the output that the script expects. */
static void
compare(const char *file, unsigned line, const char *expected,
    const char *actual)
{
	if (strcmp(expected, actual) != 0)
		printf("\n%s:%u\n  expected:\n%s  actual:\n%s", file, line,
		    expected, actual);
	CU_ASSERT_STRING_EQUAL(actual, expected);
}

static void
run_script(void)
{
	const char *file = script_files->pdata[script_at++];
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	unsigned n = 0, began;

	script_reset();
	if (!g_file_get_contents(file, &text, NULL, NULL)) {
		CU_FAIL("script cannot be read");
		return;
	}
	lines = g_strsplit(text, "\n", -1);
	while (lines[n] != NULL) {
		g_autoptr(GString) expected = g_string_new(NULL);
		g_autoptr(GString) actual = g_string_new(NULL);

		began = n++;
		if (lines[began][0] == '\0' || lines[began][0] == '#')
			continue;
		run_command(lines[began], actual);
		for (; lines[n] != NULL && g_str_has_prefix(lines[n], EXPECTED);
		     n++)
			g_string_append_printf(expected, "%s\n",
			    lines[n] + strlen(EXPECTED));
		compare(file, began + 1, expected->str, actual->str);
	}
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
	return (strcmp(*(const char *const *)a, *(const char *const *)b));
}

/* Finds the scripts of a suite, sorted by name. */
static void
find_scripts(const char *suite)
{
	g_autofree char *prefix = g_strconcat(suite, "-", NULL);
	GDir *scripts = g_dir_open(SCRIPTS, 0, NULL);
	const char *name;

	script_files = g_ptr_array_new_with_free_func(g_free);
	while (scripts != NULL && (name = g_dir_read_name(scripts)) != NULL) {
		if (g_str_has_prefix(name, prefix))
			g_ptr_array_add(script_files,
			    g_build_filename(SCRIPTS, name, NULL));
	}
	if (scripts != NULL)
		g_dir_close(scripts);
	g_ptr_array_sort(script_files, compare_names);
}

/* Runs all scripts of a suite; returns the exit status of the program. */
int
script_main(const char *suite, const struct script_command *table,
    void (*reset)(void))
{
	unsigned failures;
	CU_pSuite cu;

	script_table = table;
	script_reset = reset;
	find_scripts(suite);
	CU_initialize_registry();
	cu = CU_add_suite(suite, NULL, NULL);
	for (guint i = 0; i < script_files->len; i++)
		CU_add_test(cu, script_files->pdata[i], run_script);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	if (script_files->len == 0)
		failures++;
	CU_cleanup_registry();
	g_ptr_array_unref(script_files);
	return (failures == 0 ? 0 : 1);
}

/* Returns the word after "name=" in a line, or NULL; free with g_free(). */
char *
script_word(const char *line, const char *name)
{
	g_auto(GStrv) words = g_strsplit(line, " ", -1);
	g_autofree char *key = g_strconcat(name, "=", NULL);

	for (char **w = words; *w != NULL; w++) {
		if (g_str_has_prefix(*w, key))
			return (g_strdup(*w + strlen(key)));
	}
	return (NULL);
}

/* Returns the number after "name=" in a line, or the fallback. */
guint64
script_number(const char *line, const char *name, guint64 fallback)
{
	g_autofree char *word = script_word(line, name);

	return (word != NULL ? g_ascii_strtoull(word, NULL, 10) : fallback);
}
