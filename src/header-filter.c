/*
 * Filters the headers passed between clients and plain services. All are passed
 * but the hop-by-hop headers, the client's API key and banklift's own headers.
 */
#include <string.h>

#include "header-filter.h"

/*
 * Hop-by-hop headers (RFC 9110, 7.6.1), headers that the HTTP libraries set
 * themselves, and the API key.
 */
static const char *const not_forwarded[] = { "authorization", "connection",
	"content-length", "date", "expect", "host", "keep-alive",
	"proxy-authenticate", "proxy-authorization", "te", "trailer",
	"transfer-encoding", "upgrade", NULL };
static const char banklift_prefix[] = "banklift-";

static bool
header_is_forwarded(const char *name)
{
	g_autofree char *lower = g_ascii_strdown(name, -1);

	return (!g_str_has_prefix(lower, banklift_prefix) &&
	    !g_strv_contains(not_forwarded, lower));
}

/**
 * header_filter_request() - headers of the call to the endpoint.
 * @in: the client's request; the array points into it
 * @added: further headers, ended by an entry with a NULL name; the array points
 *	to their strings
 *
 * Return: array of struct call_header, ended by an entry with a NULL name.
 */
GArray *
header_filter_request(const struct _u_request *in,
    const struct call_header *added)
{
	GArray *headers = g_array_new(TRUE, TRUE, sizeof(struct call_header));
	const char **names = u_map_enum_keys(in->map_header);

	for (; added->name != NULL; added++)
		g_array_append_val(headers, *added);
	for (int i = 0; names != NULL && names[i] != NULL; i++) {
		struct call_header h = { names[i],
			u_map_get(in->map_header, names[i]) };

		if (header_is_forwarded(h.name))
			g_array_append_val(headers, h);
	}
	return (headers);
}

static void
put_header(const char *name, const char *value, void *arg)
{
	struct _u_response *res = arg;

	if (header_is_forwarded(name))
		u_map_put(res->map_header, name, value);
}

/**
 * header_filter_response() - pass the endpoint's headers to the client.
 * @call: the call to the endpoint
 * @res: the response to the client
 */
void
header_filter_response(const struct call *call, struct _u_response *res)
{
	call_each_header(call, put_header, res);
}
