/*
 * Reads failure traces from text files. A line "fabric N" adds a fabric domain
 * with N hosts; "size", "wanted", "load_ms", "parallel" and "end_ms" set the
 * fields of struct trace; "at MS KIND HOST" lines are the events, sorted by
 * time.
 */
#include <stdio.h>
#include <string.h>

#include "bench-trace.h"
#include "error.h"

/* Reads a line "at MS KIND HOST"; false if it is malformed. */
static bool
read_event(struct trace *t, const char *line)
{
	/* In the order of enum trace_kind. */
	static const char *const kinds[] = { "down", "up", "resume", "leave" };
	struct trace_event e;
	unsigned long long at;
	char kind[16];

	if (sscanf(line, "at %llu %15s %d", &at, kind, &e.host) != 3)
		return (false);
	e.at_ms = at;
	for (int k = 0; k < (int)G_N_ELEMENTS(kinds); k++) {
		if (strcmp(kinds[k], kind) != 0)
			continue;
		e.kind = (enum trace_kind)k;
		g_array_append_val(t->events, e);
		return (e.host >= 0 && e.host < t->n_hosts);
	}
	return (false);
}

/* Adds a fabric domain with that many hosts. */
static void
add_fabric(struct trace *t, int hosts)
{
	t->fabric = g_renew(int, t->fabric, t->n_hosts + hosts);
	for (int i = 0; i < hosts; i++)
		t->fabric[t->n_hosts++] = t->n_fabrics;
	t->n_fabrics++;
}

/* Reads one line of any sort; false if it is malformed. */
static bool
read_line(struct trace *t, const char *line)
{
	unsigned long long n;
	char name[16];

	if (line[0] == '#' || line[0] == '\0')
		return (true);
	if (g_str_has_prefix(line, "at "))
		return (read_event(t, line));
	if (sscanf(line, "%15s %llu", name, &n) != 2)
		return (false);
	if (strcmp(name, "fabric") == 0)
		add_fabric(t, (int)n);
	else if (strcmp(name, "size") == 0)
		t->size = (int)n;
	else if (strcmp(name, "wanted") == 0)
		t->wanted = (int)n;
	else if (strcmp(name, "load_ms") == 0)
		t->load_ms = n;
	else if (strcmp(name, "parallel") == 0)
		t->parallel = (int)n;
	else if (strcmp(name, "end_ms") == 0)
		t->end_ms = n;
	else
		return (false);
	return (true);
}

/**
 * trace_read() - read a trace from a file.
 * @t: filled in, also on failure; free with trace_clear()
 * @path: path of the file
 * @error: ERROR_NOT_FOUND, or ERROR_BAD_FIELD with the malformed line
 */
bool
trace_read(struct trace *t, const char *path, GError **error)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	memset(t, 0, sizeof *t);
	t->events = g_array_new(FALSE, FALSE, sizeof(struct trace_event));
	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		error_set(error, ERROR_NOT_FOUND, "%s cannot be read", path);
		return (false);
	}
	lines = g_strsplit(text, "\n", -1);
	for (unsigned i = 0; lines[i] != NULL; i++) {
		if (read_line(t, lines[i]))
			continue;
		error_set(error, ERROR_BAD_FIELD, "%s:%u: %s", path, i + 1,
		    lines[i]);
		return (false);
	}
	return (true);
}

/**
 * trace_clear() - free what a trace holds.
 * @t: the trace
 */
void
trace_clear(struct trace *t)
{
	g_clear_pointer(&t->events, g_array_unref);
	g_clear_pointer(&t->fabric, g_free);
}
