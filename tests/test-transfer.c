/* What the users of libcurl take for a response, from a server that sends it
 * and closes. */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call.h"
#include "clock.h"
#include "http-batch.h"
#include "http-client.h"
#include "raw-server.h"
#include "script.h"

#define TIMEOUT_MS 2000

/* A server that sends the same bytes to each request. */
struct server {
	int listener;
	char *url;
	char *bytes;
	GThread *thread;
};

static GString *
reply(const char *head, void *arg)
{
	const struct server *s = arg;

	return (g_string_new(s->bytes));
}

static gpointer
server_run(gpointer arg)
{
	struct server *s = arg;

	raw_server_run(s->listener, reply, s);
	return (NULL);
}

static void
server_open(struct server *s, const char *text)
{
	int port = 0;

	s->listener = raw_server_open("127.0.0.1", &port);
	s->url = g_strdup_printf("http://127.0.0.1:%d/", port);
	s->bytes = g_strcompress(text);
	s->thread = g_thread_new("server", server_run, s);
}

static void
server_close(struct server *s)
{
	shutdown(s->listener, SHUT_RDWR);
	g_thread_join(s->thread);
	close(s->listener);
	g_free(s->url);
	g_free(s->bytes);
}

/* What the blocking client makes of it. */
static void
read_client(const char *url, GString *out)
{
	struct http_response response = { 0 };

	if (http_client_get(url, TIMEOUT_MS, &response, NULL))
		g_string_append_printf(out, "client %ld%s", response.status,
		    response.json != NULL ? " json" : "");
	else
		g_string_append(out, "client failed");
	http_response_clear(&response);
}

/* What a batch makes of it. */
static void
read_batch(const char *url, GString *out)
{
	struct http_batch *batch = http_batch_create();
	const struct http_call *call;

	http_batch_add(batch, url, NULL, NULL);
	call = TAILQ_FIRST(http_batch_run(batch, TIMEOUT_MS));
	if (call->status != 0)
		g_string_append_printf(out, ", batch %ld%s", call->status,
		    call->json != NULL ? " json" : "");
	else
		g_string_append(out, ", batch failed");
	http_batch_free(batch);
}

/* What a call to an endpoint makes of it. */
static void
read_call(const char *url, GString *out)
{
	static const struct call_header none = { NULL, NULL };
	struct call *call = call_start("GET", url, &none, NULL, 0, false);
	uint64_t until_ms = clock_now_ms() + TIMEOUT_MS;

	while (!call_ended(call) && clock_now_ms() < until_ms)
		call_poll(&call, 1, until_ms);
	if (call_phase(call) == CALL_COMPLETE)
		g_string_append_printf(out, ", call %d\n", call_status(call));
	else
		g_string_append(out, ", call failed\n");
	call_free(call);
}

/* closing TEXT: the server sends it to each request, and closes */
static void
cmd_closing(const char *rest, GString *out)
{
	struct server server;

	server_open(&server, rest);
	read_client(server.url, out);
	read_batch(server.url, out);
	read_call(server.url, out);
	server_close(&server);
}

static void
reset(void)
{
}

int
main(void)
{
	static const struct script_command commands[] = {
		{ "closing", cmd_closing },
		{ NULL, NULL },
	};

	return (script_main("transfer", commands, reset));
}
