/*
 * Stand-in for the platform's log service. Faults:
 *	down	close the connections of all calls without a response
 *	slow_ms	delay of each call
 *	lose	the next n appends take effect but get no response
 *	refuse	the next n appends take no effect and get no response
 * PUT /trim {"stream": "...", "first": n} drops all records before n.
 */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "fault.h"

#define WAIT_STEP_MS 5

struct stream {
	uint64_t first;
	GPtrArray *records;
};

static GMutex lock;
static GHashTable *streams;
static uint64_t appends;

static struct stream *
stream_get(const char *name)
{
	struct stream *s = g_hash_table_lookup(streams, name);

	if (s == NULL) {
		s = g_new0(struct stream, 1);
		s->first = 1;
		s->records = g_ptr_array_new();
		g_hash_table_insert(streams, g_strdup(name), s);
	}
	return (s);
}

static int
append(const struct _u_request *in, struct _u_response *res, void *arg)
{
	struct stream *s;
	uint64_t offset;

	if (fault_get("down") || fault_consume("refuse"))
		return (fault_drop_connection(res));
	fault_sleep("slow_ms");
	g_mutex_lock(&lock);
	s = stream_get(u_map_get(in->map_url, "name"));
	g_ptr_array_add(s->records,
	    g_strndup(in->binary_body, in->binary_body_length));
	offset = s->records->len;
	appends++;
	g_mutex_unlock(&lock);
	if (fault_consume("lose"))
		return (fault_drop_connection(res));
	standin_reply(res, 200,
	    json_pack("{s:I}", "offset", (json_int_t)offset));
	return (U_CALLBACK_COMPLETE);
}

static uint64_t
number(const struct _u_request *in, const char *name, uint64_t fallback)
{
	const char *text = u_map_get(in->map_url, name);

	return (text != NULL ? g_ascii_strtoull(text, NULL, 10) : fallback);
}

static int
read_records(const struct _u_request *in, struct _u_response *res, void *arg)
{
	uint64_t from = number(in, "from", 1), max = number(in, "max", 100);
	uint64_t wait_ms = number(in, "wait_ms", 0), next, first;
	json_t *records = json_array();
	struct stream *s;

	if (fault_get("down"))
		return (fault_drop_connection(res));
	fault_sleep("slow_ms");
	g_mutex_lock(&lock);
	s = stream_get(u_map_get(in->map_url, "name"));
	for (; s->records->len < from && wait_ms >= WAIT_STEP_MS;
	     wait_ms -= WAIT_STEP_MS) {
		g_mutex_unlock(&lock);
		g_usleep(WAIT_STEP_MS * 1000);
		g_mutex_lock(&lock);
	}
	next = s->records->len + 1;
	first = s->first;
	for (uint64_t o = from; o >= first && o < next && o < from + max; o++)
		json_array_append_new(records,
		    json_pack("{s:I, s:s}", "offset", (json_int_t)o, "data",
			s->records->pdata[o - 1]));
	g_mutex_unlock(&lock);
	if (fault_get("down")) {
		json_decref(records);
		return (fault_drop_connection(res));
	}
	standin_reply(res, from < first ? 410 : 200,
	    json_pack("{s:I, s:I, s:o}", "first", (json_int_t)first, "next",
		(json_int_t)next, "records", records));
	return (U_CALLBACK_COMPLETE);
}

static int
trim(const struct _u_request *in, struct _u_response *res, void *arg)
{
	json_t *body =
	    json_loadb(in->binary_body, in->binary_body_length, 0, NULL);
	const char *name;
	json_int_t first;

	if (json_unpack(body, "{s:s, s:I}", "stream", &name, "first", &first) ==
	    0) {
		g_mutex_lock(&lock);
		stream_get(name)->first = (uint64_t)first;
		g_mutex_unlock(&lock);
	}
	json_decref(body);
	standin_reply(res, 200, json_object());
	return (U_CALLBACK_COMPLETE);
}

static int
stats(const struct _u_request *in, struct _u_response *res, void *arg)
{
	g_mutex_lock(&lock);
	standin_reply(res, 200,
	    json_pack("{s:I}", "appends", (json_int_t)appends));
	g_mutex_unlock(&lock);
	return (U_CALLBACK_COMPLETE);
}

static void
setup(struct _u_instance *inst)
{
	streams = g_hash_table_new(g_str_hash, g_str_equal);
	standin_add_handler(inst, "POST", "/streams/:name/records", append);
	standin_add_handler(inst, "GET", "/streams/:name/records",
	    read_records);
	standin_add_handler(inst, "PUT", "/trim", trim);
	standin_add_handler(inst, "GET", "/stats", stats);
}

int
main(int argc, char **argv)
{
	return (standin_main(argc, argv, setup));
}
