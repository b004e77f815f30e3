/*
 * Stand-in for a plain service: ip:port name. Its response has its name, the
 * method and the body. The journal has the ids of the requests that it ran.
 * Faults:
 *	leaving		report that the endpoint leaves
 *	cut_before	close the next n connections without running the request
 *	cut_after	close the next n connections after running the request
 *	status		status of the response, after running
 *	not_started	refuse the next n requests with 503, not started
 *	rest_ms		refuse all requests like this and ask for a backoff of
 *			so many ms; the journal has a line "rest" for each
 *	slow_ms		delay after running
 *	limit		rate limit named in responses, in 1/1000 requests/s
 */
#include <glib.h>
#include <jansson.h>

#include "fault.h"

static int
health(const struct _u_request *in, struct _u_response *res, void *arg)
{
	bool leaving = fault_get("leaving") != 0;

	standin_reply(res, leaving ? 503 : 200,
	    json_pack("{s:s, s:i}", "state", leaving ? "leaving" : "ready",
		"load", 0));
	return (U_CALLBACK_COMPLETE);
}

static int
serve(const struct _u_request *in, struct _u_response *res, void *arg)
{
	const char *id = u_map_get_case(in->map_header, "Banklift-Request-Id");
	int64_t status = fault_get("status"), limit = fault_get("limit");
	g_autofree char *per_s = g_strdup_printf("%.3f", (double)limit / 1000);

	if (fault_consume("cut_before"))
		return (fault_drop_connection(res));
	if (fault_get("endless") != 0)
		return (fault_endless(res));
	if (fault_get("rest_ms") > 0)
		return (fault_backoff(res));
	if (fault_consume("not_started")) {
		u_map_put(res->map_header, "Not-Started", "1");
		standin_reply(res, 503, json_object());
		return (U_CALLBACK_COMPLETE);
	}
	journal_add(id);
	fault_sleep("slow_ms");
	if (fault_consume("cut_after"))
		return (fault_drop_connection(res));
	if (limit > 0)
		u_map_put(res->map_header, "Banklift-Limit", per_s);
	u_map_put(res->map_header, "X-Url", in->http_url);
	if (u_map_get_case(in->map_header, "X-Venue") != NULL)
		u_map_put(res->map_header, "X-Venue",
		    u_map_get_case(in->map_header, "X-Venue"));
	if (u_map_get_case(in->map_header, "Authorization") != NULL)
		u_map_put(res->map_header, "X-Key-Seen", "yes");
	standin_reply(res, status != 0 ? (int)status : 200,
	    json_pack("{s:s, s:s, s:s%}", "service", standin_arg(0), "method",
		in->http_verb, "body",
		in->binary_body != NULL ? (char *)in->binary_body : "",
		in->binary_body_length));
	return (U_CALLBACK_COMPLETE);
}

static void
setup(struct _u_instance *inst)
{
	standin_add_handler(inst, "GET", "/health", health);
	standin_add_handler(inst, "*", "/*", serve);
}

int
main(int argc, char **argv)
{
	return (standin_main(argc, argv, setup));
}
