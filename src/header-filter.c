/*
 * Which headers pass between a caller and a plain service: all but those that
 * concern one connection only, the caller's key, and those that are ours.
 */
#include <string.h>

#include "header-filter.h"

/* RFC 9110, 7.6.1, and what the HTTP libraries set themselves. */
static const char *const kept_back[] = { "authorization", "connection",
	"content-length", "date", "expect", "host", "keep-alive",
	"proxy-authenticate", "proxy-authorization", "te", "trailer",
	"transfer-encoding", "upgrade", NULL };
static const char own_prefix[] = "banklift-";

static bool
header_passes(const char *name)
{
	g_autofree char *lower = g_ascii_strdown(name, -1);

	return (!g_str_has_prefix(lower, own_prefix) &&
	    !g_strv_contains(kept_back, lower));
}

/**
 * header_filter_request() - headers of the call to the endpoint.
 * @in: the caller's request; the array points into it
 * @own: headers of ours, ended by a NULL name; copied
 *
 * Return: array of struct call_header, ended by a NULL name.
 */
GArray *
header_filter_request(const struct _u_request *in,
    const struct call_header *own)
{
	GArray *headers = g_array_new(TRUE, TRUE, sizeof(struct call_header));
	const char **names = u_map_enum_keys(in->map_header);

	for (; own->name != NULL; own++)
		g_array_append_val(headers, *own);
	for (int i = 0; names != NULL && names[i] != NULL; i++) {
		struct call_header h = { names[i],
			u_map_get(in->map_header, names[i]) };

		if (header_passes(h.name))
			g_array_append_val(headers, h);
	}
	return (headers);
}

static void
pass_header(const char *name, const char *value, void *arg)
{
	struct _u_response *res = arg;

	if (header_passes(name))
		u_map_put(res->map_header, name, value);
}

/**
 * header_filter_response() - give the endpoint's headers to the caller.
 * @call: the call
 * @res: the answer
 */
void
header_filter_response(const struct call *call, struct _u_response *res)
{
	call_each_header(call, pass_header, res);
}
