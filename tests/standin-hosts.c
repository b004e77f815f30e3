/*
 * Stand-in for the platform's host list. PUT /hosts replaces the list.
 * Faults:
 *	down	close connections without a response
 *	lag_ms	GET returns the previous list for this time after a change
 */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "fault.h"

static GMutex lock;
static json_t *current, *previous;
static gint64 changed_us;
static unsigned version;

static int
get(const struct _u_request *in, struct _u_response *res, void *arg)
{
	const char *known = u_map_get_case(in->map_header, "If-None-Match");
	g_autofree char *etag = NULL;
	json_t *list;

	if (fault_get("down"))
		return (fault_drop_connection(res));
	g_mutex_lock(&lock);
	list =
	    g_get_monotonic_time() < changed_us + fault_get("lag_ms") * 1000 ?
	    previous :
	    current;
	etag = g_strdup_printf("\"%u\"", version - (list == previous));
	if (known != NULL && strcmp(known, etag) == 0)
		ulfius_set_empty_body_response(res, 304);
	else
		ulfius_set_json_body_response(res, 200, list);
	u_map_put(res->map_header, "ETag", etag);
	g_mutex_unlock(&lock);
	return (U_CALLBACK_COMPLETE);
}

static int
put(const struct _u_request *in, struct _u_response *res, void *arg)
{
	json_t *list =
	    json_loadb(in->binary_body, in->binary_body_length, 0, NULL);

	g_mutex_lock(&lock);
	json_decref(previous);
	previous = current;
	current = list;
	version++;
	changed_us = g_get_monotonic_time();
	g_mutex_unlock(&lock);
	standin_reply(res, 200, json_object());
	return (U_CALLBACK_COMPLETE);
}

static void
setup(struct _u_instance *inst)
{
	current = json_pack("{s:[]}", "hosts");
	previous = json_incref(current);
	standin_add_handler(inst, "GET", "/hosts", get);
	standin_add_handler(inst, "PUT", "/hosts", put);
}

int
main(int argc, char **argv)
{
	return (standin_main(argc, argv, setup));
}
