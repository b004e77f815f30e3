/*
 * Shared by the stand-ins: an HTTP server, faults and a journal. A fault is a
 * named number, set by PUT /fault {"name": number}.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"
#include "setting.h"

static GMutex fault_lock;
static GHashTable *faults;
static GString *journal;
static char **standin_argv;
static int standin_argc;

/* Returns the number of a fault; 0 if it is not set. */
int64_t
fault_get(const char *name)
{
	int64_t n;

	g_mutex_lock(&fault_lock);
	n = GPOINTER_TO_INT(g_hash_table_lookup(faults, name));
	g_mutex_unlock(&fault_lock);
	return (n);
}

/* Returns whether a counted fault applies, and decrements it. */
bool
fault_consume(const char *name)
{
	int n;

	g_mutex_lock(&fault_lock);
	n = GPOINTER_TO_INT(g_hash_table_lookup(faults, name));
	if (n > 0)
		g_hash_table_replace(faults, g_strdup(name),
		    GINT_TO_POINTER(n - 1));
	g_mutex_unlock(&fault_lock);
	return (n > 0);
}

/* Sleeps for the number of the fault, in ms. */
void
fault_sleep(const char *name)
{
	g_usleep((gulong)fault_get(name) * 1000);
}

static ssize_t
drop_read(void *arg, uint64_t offset, char *out, size_t max)
{
	return (U_STREAM_ERROR);
}

/* Closes the connection without a response. */
int
fault_drop_connection(struct _u_response *res)
{
	ulfius_set_stream_response(res, 200, drop_read, NULL, 4096, 16, NULL);
	return (U_CALLBACK_COMPLETE);
}

static ssize_t
endless_read(void *arg, uint64_t offset, char *out, size_t max)
{
	memset(out, 'a', max);
	return ((ssize_t)max);
}

/* Responds with a body that doesn't end. */
int
fault_endless(struct _u_response *res)
{
	ulfius_set_stream_response(res, 200, endless_read, NULL,
	    U_STREAM_SIZE_UNKNOWN, 65536, NULL);
	return (U_CALLBACK_COMPLETE);
}

/* Refuses a request and asks for a backoff of "rest_ms". */
int
fault_backoff(struct _u_response *res)
{
	int64_t ms = fault_get("rest_ms");
	g_autofree char *seconds =
	    g_strdup_printf("%d.%03d", (int)(ms / 1000), (int)(ms % 1000));

	journal_add("rest");
	u_map_put(res->map_header, "Not-Started", "1");
	u_map_put(res->map_header, "Retry-After", seconds);
	standin_reply(res, 503, json_object());
	return (U_CALLBACK_COMPLETE);
}

static int
fault_put(const struct _u_request *in, struct _u_response *res, void *arg)
{
	json_t *body =
	    json_loadb(in->binary_body, in->binary_body_length, 0, NULL);
	const char *name;
	json_t *n;

	g_mutex_lock(&fault_lock);
	json_object_foreach(body, name, n)
		g_hash_table_replace(faults, g_strdup(name),
		    GINT_TO_POINTER((int)json_integer_value(n)));
	g_mutex_unlock(&fault_lock);
	json_decref(body);
	standin_reply(res, 200, json_object());
	return (U_CALLBACK_COMPLETE);
}

/* Adds a line to the journal: the id of a request that was started. */
void
journal_add(const char *id)
{
	g_mutex_lock(&fault_lock);
	g_string_append_printf(journal, "%s\n", id);
	g_mutex_unlock(&fault_lock);
}

static int
journal_get(const struct _u_request *in, struct _u_response *res, void *arg)
{
	g_mutex_lock(&fault_lock);
	ulfius_set_string_body_response(res, 200, journal->str);
	g_mutex_unlock(&fault_lock);
	return (U_CALLBACK_COMPLETE);
}

/* Sends a response with a JSON body; takes the reference to it. */
void
standin_reply(struct _u_response *res, int status, json_t *json)
{
	ulfius_set_json_body_response(res, (unsigned)status, json);
	json_decref(json);
}

/* Adds a handler for a method and path. */
void
standin_add_handler(struct _u_instance *inst, const char *method,
    const char *path,
    int (*handler)(const struct _u_request *, struct _u_response *, void *))
{
	ulfius_add_endpoint_by_val(inst, method, NULL, path, 0, handler, NULL);
}

/* Returns the nth argument after the address, or "". */
const char *
standin_arg(int n)
{
	return (n + 2 < standin_argc ? standin_argv[n + 2] : "");
}

/* Serves at the address in the first argument until SIGTERM or SIGINT. */
int
standin_main(int argc, char **argv, void (*setup)(struct _u_instance *))
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	struct _u_instance inst;
	char *ip = NULL;
	uint16_t port;
	sigset_t set;
	int sig;

	if (argc < 2 || !setting_split_address(argv[1], &ip, &port)) {
		fprintf(stderr, "usage: %s ip:port ...\n", argv[0]);
		return (2);
	}
	standin_argc = argc;
	standin_argv = argv;
	faults = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	sin.sin_port = htons(port);
	inet_pton(AF_INET, ip, &sin.sin_addr);
	g_free(ip);
	ulfius_init_instance(&inst, port, &sin, NULL);
	journal = g_string_new(NULL);
	standin_add_handler(&inst, "PUT", "/fault", fault_put);
	standin_add_handler(&inst, "GET", "/journal", journal_get);
	setup(&inst);
	if (ulfius_start_framework(&inst) != U_OK) {
		fprintf(stderr, "%s: cannot serve at %s\n", argv[0], argv[1]);
		return (1);
	}
	while (sigwait(&set, &sig) != 0 || sig == SIGPIPE)
		;
	ulfius_stop_framework(&inst);
	ulfius_clean_instance(&inst);
	g_hash_table_unref(faults);
	g_string_free(journal, TRUE);
	return (0);
}
