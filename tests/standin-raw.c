/*
 * Stand-in that sends the bytes of a file to each request and closes:
 * ip file. Health checks of a plain service get a proper response.
 */
#include <stdio.h>
#include <string.h>

#include "raw-server.h"

#define PORT 9000

static const char healthy[] =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    "Content-Length: 26\r\n\r\n{\"state\":\"ready\",\"load\":0}";

static GString *
reply(const char *head, void *arg)
{
	g_autofree char *bytes = NULL;
	gsize length = 0;

	if (g_str_has_prefix(head, "GET /health "))
		return (g_string_new(healthy));
	if (!g_file_get_contents(arg, &bytes, &length, NULL))
		return (g_string_new(NULL));
	return (g_string_new_len(bytes, (gssize)length));
}

int
main(int argc, char **argv)
{
	int port = PORT;

	if (argc != 3) {
		fprintf(stderr, "usage: standin-raw ip file\n");
		return (2);
	}
	raw_server_run(raw_server_open(argv[1], &port), reply, argv[2]);
	return (0);
}
