/*
 * Stand-in for a model engine on one host: ip:port name load_ms token_ms.
 *
 * The words of a completion depend only on the prompt and the token's index, so
 * that all replicas generate the same text. The journal has the ids of the
 * requests that were started. Faults:
 *	ignore_fence	carry out orders with an old epoch
 *	ignore_epoch	serve requests for another epoch
 *	leaving		report that the host leaves; refuse requests
 *	die_at		cut the stream before chunk n-1
 *	empty		generate no text
 *	truncate	end the stream before chunk n-1, without its end mark
 *	stall_at	send nothing from chunk n-1 on
 *	duplicate	send each chunk twice
 *	reorder		swap each two chunks
 *	slow_ms		delay before the first chunk
 *	busy		answer the next n requests with 429, not started
 *	order_delay_ms	delay before a join takes effect
 */
#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "fault.h"

#define REINIT_MS 50
#define STALL_STEP_MS 10

static GMutex lock;
static uint64_t epoch, fence;
static char *group;
static char *model;
static int shard = -1, shards;
static gint64 ready_at_us;
static unsigned n_running;

struct generation {
	uint32_t seed;
	int64_t index;
	int64_t count;
	int64_t swapped;
	bool ended;
};

static const char *
host_state(void)
{
	if (fault_get("leaving"))
		return ("leaving");
	if (epoch == 0)
		return ("idle");
	return (g_get_monotonic_time() < ready_at_us ? "loading" : "ready");
}

static int
host_get(const struct _u_request *in, struct _u_response *res, void *arg)
{
	g_mutex_lock(&lock);
	standin_reply(res, 200,
	    json_pack("{s:s, s:s, s:I, s:s, s:i, s:i, s:i}", "state",
		host_state(), "group", group, "epoch", (json_int_t)epoch,
		"model", model, "shard", shard, "shards", shards, "load",
		(int)n_running));
	g_mutex_unlock(&lock);
	return (U_CALLBACK_COMPLETE);
}

/* Returns whether an order's epoch is too old; the lock is held. */
static bool
order_is_fenced(uint64_t order)
{
	if (order < fence && !fault_get("ignore_fence"))
		return (true);
	if (order > fence)
		fence = order;
	return (false);
}

/* Joins a group; a shard that is loaded already needs only REINIT_MS. */
static void
join_locked(const char *name, json_int_t e, int rank, int n, const char *m)
{
	int64_t load_ms = g_ascii_strtoll(standin_arg(1), NULL, 10);

	if (strcmp(model, m) == 0 && shard == rank && shards == n)
		load_ms = REINIT_MS;
	g_free(group);
	group = g_strdup(name);
	epoch = (uint64_t)e;
	g_free(model);
	model = g_strdup(m);
	shard = rank;
	shards = n;
	ready_at_us = g_get_monotonic_time() + load_ms * 1000;
}

static int
host_join(const struct _u_request *in, struct _u_response *res, void *arg)
{
	json_t *body =
	    json_loadb(in->binary_body, in->binary_body_length, 0, NULL);
	const char *name, *m;
	json_int_t e;
	int rank, n, status = 400;

	fault_sleep("order_delay_ms");
	g_mutex_lock(&lock);
	if (json_unpack(body, "{s:s, s:I, s:i, s:i, s:s}", "group", &name,
		"epoch", &e, "rank", &rank, "shards", &n, "model", &m) == 0)
		status = order_is_fenced((uint64_t)e) ? 409 : 200;
	if (status == 200 && epoch != (uint64_t)e)
		join_locked(name, e, rank, n, m);
	g_mutex_unlock(&lock);
	json_decref(body);
	standin_reply(res, status, json_object());
	return (U_CALLBACK_COMPLETE);
}

static int
host_leave(const struct _u_request *in, struct _u_response *res, void *arg)
{
	json_t *body =
	    json_loadb(in->binary_body, in->binary_body_length, 0, NULL);
	json_int_t e = json_integer_value(json_object_get(body, "epoch"));
	int status;

	g_mutex_lock(&lock);
	status = order_is_fenced((uint64_t)e) ? 409 : 200;
	if (status == 200) {
		epoch = 0;
		g_free(group);
		group = g_strdup("");
	}
	g_mutex_unlock(&lock);
	json_decref(body);
	standin_reply(res, status, json_object());
	return (U_CALLBACK_COMPLETE);
}

static void
chunk_write(const struct generation *a, int64_t index, GString *out)
{
	uint32_t word = (a->seed ^ (uint32_t)index * 2654435761u) % 100000;

	g_string_append_printf(out,
	    "data: {\"index\":%" G_GINT64_FORMAT ",\"text\":\"w%u \"}\n\n",
	    index, word);
}

static ssize_t
generation_read(void *arg, uint64_t offset, char *out, size_t max)
{
	g_autoptr(GString) text = g_string_new(NULL);
	int64_t token_ms = g_ascii_strtoll(standin_arg(2), NULL, 10);
	struct generation *a = arg;

	if (a->ended)
		return (U_STREAM_END);
	if (a->index + 1 == fault_get("die_at"))
		return (U_STREAM_ERROR);
	while (a->index + 1 == fault_get("stall_at"))
		g_usleep(STALL_STEP_MS * 1000);
	g_usleep(
	    (gulong)(a->index == 0 ? fault_get("slow_ms") : token_ms) * 1000);
	if (a->index >= a->count || a->index + 1 == fault_get("truncate")) {
		a->ended = true;
		if (a->index < a->count)
			return (U_STREAM_END);
		g_string_append_printf(text,
		    "data: {\"end\":true,\"tokens\":%" G_GINT64_FORMAT "}\n\n",
		    a->count);
	} else if (fault_get("reorder") && a->index + 1 < a->count) {
		chunk_write(a, a->index + 1, text);
		chunk_write(a, a->index, text);
		a->index += 2;
	} else {
		chunk_write(a, a->index, text);
		if (fault_get("duplicate"))
			chunk_write(a, a->index, text);
		a->index++;
	}
	memcpy(out, text->str, MIN(text->len, max));
	return ((ssize_t)MIN(text->len, max));
}

static void
generation_free(void *arg)
{
	g_mutex_lock(&lock);
	n_running--;
	g_mutex_unlock(&lock);
	g_free(arg);
}

static int
reply_not_started(struct _u_response *res, int status)
{
	u_map_put(res->map_header, "Not-Started", "1");
	standin_reply(res, status, json_object());
	return (U_CALLBACK_COMPLETE);
}

static int
completion(const struct _u_request *in, struct _u_response *res, void *arg)
{
	const char *wanted = u_map_get_case(in->map_header, "Banklift-Epoch");
	const char *id = u_map_get_case(in->map_header, "Banklift-Request-Id");
	json_t *body =
	    json_loadb(in->binary_body, in->binary_body_length, 0, NULL);
	struct generation *a = g_new0(struct generation, 1);
	json_int_t count = 0, from = 0;
	const char *prompt = "";
	bool other;

	json_unpack(body, "{s:s, s:I, s:I}", "prompt", &prompt, "max_tokens",
	    &count, "resume_from", &from);
	g_mutex_lock(&lock);
	other = wanted == NULL || g_ascii_strtoull(wanted, NULL, 10) != epoch ||
	    strcmp(host_state(), "ready") != 0;
	if ((other && !fault_get("ignore_epoch")) || fault_get("leaving") ||
	    fault_consume("busy")) {
		g_mutex_unlock(&lock);
		g_free(a);
		json_decref(body);
		return (reply_not_started(res, other ? 409 : 429));
	}
	journal_add(id);
	n_running++;
	g_mutex_unlock(&lock);
	a->seed = g_str_hash(prompt);
	a->index = from;
	a->count = fault_get("empty") ? 0 : count;
	json_decref(body);
	u_map_put(res->map_header, "Engine-Resumes", "exact");
	u_map_put(res->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(res, 200, generation_read, generation_free,
	    U_STREAM_SIZE_UNKNOWN, 4096, a);
	return (U_CALLBACK_COMPLETE);
}

static void
setup(struct _u_instance *inst)
{
	group = g_strdup("");
	model = g_strdup("");
	standin_add_handler(inst, "GET", "/host", host_get);
	standin_add_handler(inst, "POST", "/host/join", host_join);
	standin_add_handler(inst, "POST", "/host/leave", host_leave);
	standin_add_handler(inst, "POST", "/v1/completions", completion);
}

int
main(int argc, char **argv)
{
	return (standin_main(argc, argv, setup));
}
