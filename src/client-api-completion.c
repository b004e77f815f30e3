/* Handlers of POST /v1/completions and /v1/chat/completions. */
#include <string.h>
#include <xxhash.h>

#include "client-api.h"
#include "cleanup.h"
#include "clock.h"
#include "completion.h"
#include "http-reply.h"
#include "text-stream.h"

#define MAX_TOKENS_DEFAULT 256
#define MAX_TOKENS_MAX 32768
#define PRIORITY_MAX 9
/*
 * Prompts that agree in this many bytes have the same prefix hash, by which the
 * routing policy may send them to the same replica.
 */
#define PREFIX_BYTES 256
#define STREAM_BLOCK_BYTES 4096
/* A stream that waits for its next chunk sends a comment this often, so that no
 * side takes the connection for idle. */
#define COMMENT_MS 10000

/* Parameters of a completion, after validation. */
struct completion_params {
	const char *model;
	char *prompt;
	json_int_t max_tokens;
	json_int_t priority;
	bool stream;
	bool chat;
};

/* State of a streamed response; @pending is still to be sent. */
struct completion_stream {
	struct completion *completion;
	char *id;
	bool chat;
	bool ended;
	GString *pending;
};

static void
params_clear(struct completion_params *p)
{
	g_free(p->prompt);
}

static bool
bad_field(struct failure *f, const char *what)
{
	failure_set(f, ERROR_BAD_FIELD, OUTCOME_NOT_RUN, 0, "%s", what);
	return (false);
}

/* Joins the messages of a chat into one prompt; NULL if they are malformed. */
static char *
chat_prompt(json_t *messages)
{
	g_autoptr(GString) prompt = g_string_new(NULL);
	const char *role, *content;
	json_t *message;
	size_t i;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return (NULL);
	json_array_foreach(messages, i, message) {
		if (json_unpack(message, "{s:s, s:s}", "role", &role, "content",
			&content) != 0)
			return (NULL);
		g_string_append_printf(prompt, "%s: %s\n", role, content);
	}
	return (g_strdup(prompt->str));
}

static bool
params_parse_numbers(struct completion_params *p, json_t *body,
    struct failure *f)
{
	json_t *max = json_object_get(body, "max_tokens");
	json_t *stream = json_object_get(body, "stream");

	p->max_tokens = MAX_TOKENS_DEFAULT;
	if (max != NULL) {
		p->max_tokens = json_integer_value(max);
		if (p->max_tokens < 1 || p->max_tokens > MAX_TOKENS_MAX)
			return (bad_field(f, "max_tokens: must be 1 to 32768"));
	}
	if (stream != NULL && !json_is_boolean(stream))
		return (bad_field(f, "stream: must be true or false"));
	p->stream = json_is_true(stream);
	return (true);
}

static bool
params_parse_priority(struct completion_params *p, const struct _u_request *in,
    struct failure *f)
{
	const char *text = u_map_get_case(in->map_header, "Banklift-Priority");
	guint64 priority = 5;

	if (text != NULL &&
	    !g_ascii_string_to_unsigned(text, 10, 0, PRIORITY_MAX, &priority,
		NULL)) {
		failure_set(f, ERROR_BAD_HEADER, OUTCOME_NOT_RUN, 0,
		    "Banklift-Priority: must be 0 to %d", PRIORITY_MAX);
		return (false);
	}
	p->priority = (json_int_t)priority;
	return (true);
}

/* Parses and validates the body of a completion and its priority. */
static bool
params_parse(struct completion_params *p, json_t *body,
    const struct _u_request *in, struct failure *f)
{
	if (!json_is_object(body)) {
		failure_set(f, ERROR_BAD_JSON, OUTCOME_NOT_RUN, 0,
		    "the body must be a JSON object");
		return (false);
	}
	p->model = json_string_value(json_object_get(body, "model"));
	if (p->model == NULL)
		return (bad_field(f, "model: must be a string"));
	if (p->chat)
		p->prompt = chat_prompt(json_object_get(body, "messages"));
	else
		p->prompt = g_strdup(
		    json_string_value(json_object_get(body, "prompt")));
	if (p->prompt == NULL)
		return (bad_field(f,
		    p->chat ? "messages: must be objects of role and content" :
			      "prompt: must be a string"));
	return (params_parse_numbers(p, body, f) &&
	    params_parse_priority(p, in, f));
}

/* The choice object of an OpenAI-style response, with some text. */
static json_t *
choice_json(bool chat, bool streamed, const char *text, const char *finish)
{
	json_t *choice =
	    json_pack("{s:i, s:s?}", "index", 0, "finish_reason", finish);

	if (!chat)
		json_object_set_new(choice, "text", json_string(text));
	else
		json_object_set_new(choice, streamed ? "delta" : "message",
		    json_pack("{s:s, s:s}", "role", "assistant", "content",
			text));
	return (choice);
}

static json_t *
response_json(const char *id, bool chat, json_t *choice)
{
	return (json_pack("{s:s, s:s, s:[o]}", "id", id, "object",
	    chat ? "chat.completion" : "text_completion", "choices", choice));
}

static void
stream_append_event(struct completion_stream *s, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	g_string_append_printf(s->pending, "data: %s\n\n", text);
	free(text);
	json_decref(json);
}

/* Queues the last event and the end marker, which is sent only if the
 * completion is complete. */
static void
stream_append_end(struct completion_stream *s)
{
	stream_append_event(s,
	    response_json(s->id, s->chat,
		choice_json(s->chat, true, "", "stop")));
	g_string_append(s->pending, "data: [DONE]\n\n");
	s->ended = true;
}

/* Waits for the next chunk and queues the event for the client. While there is
 * none, queues comments. */
static void
stream_advance(struct completion_stream *s)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	g_autofree char *text = NULL;

	switch (completion_next(s->completion, clock_now_ms() + COMMENT_MS,
	    &text, &f)) {
	case COMPLETION_WAITS:
		g_string_append(s->pending, ": waiting\n\n");
		return;
	case COMPLETION_CHUNK:
		stream_append_event(s,
		    response_json(s->id, s->chat,
			choice_json(s->chat, true, text, NULL)));
		return;
	case COMPLETION_END:
		stream_append_end(s);
		return;
	case COMPLETION_FAILED:
		g_string_append(s->pending, "event: error\n");
		stream_append_event(s, http_failure_json(&f, s->id));
		s->ended = true;
		return;
	}
}

/* Called by the HTTP server whenever more can be sent to the client. */
static ssize_t
stream_read(void *arg, uint64_t offset, char *out, size_t max)
{
	struct completion_stream *s = arg;

	if (s->pending->len == 0 && s->ended)
		return (U_STREAM_END);
	if (s->pending->len == 0)
		stream_advance(s);
	return (text_stream_take(s->pending, out, max));
}

/*
 * Called by the HTTP server once everything is sent or the client has
 * disconnected.
 */
static void
stream_free(void *arg)
{
	struct completion_stream *s = arg;

	completion_free(s->completion);
	g_string_free(s->pending, TRUE);
	g_free(s->id);
	g_free(s);
}

/*
 * Starts a streamed response. Waits for the first chunk, so that a failure
 * before it can be reported by an HTTP status.
 */
static void
reply_stream(struct completion *c, const struct request *req, bool chat,
    struct _u_response *res)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	g_autofree char *text = NULL;
	enum completion_result result;
	struct completion_stream *s;

	result = completion_next(c, UINT64_MAX, &text, &f);
	if (result == COMPLETION_FAILED) {
		http_reply_failure(res, &f, req->id);
		completion_free(c);
		return;
	}
	s = g_new0(struct completion_stream, 1);
	s->completion = c;
	s->id = g_strdup(req->id);
	s->chat = chat;
	s->pending = g_string_new(NULL);
	if (result == COMPLETION_CHUNK) {
		stream_append_event(s,
		    response_json(s->id, chat,
			choice_json(chat, true, text, NULL)));
	} else {
		stream_append_end(s);
	}
	u_map_put(res->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(res, 200, stream_read, stream_free,
	    U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, s);
}

/* Waits for the complete text and sends it in one response. */
static void
reply_complete(struct completion *c, const struct request *req, bool chat,
    struct _u_response *res)
{
	g_autoptr(GString) output = g_string_new(NULL);
	CLEANUP(failure_clear) struct failure f = { 0 };
	enum completion_result result;
	char *text;

	while ((result = completion_next(c, UINT64_MAX, &text, &f)) ==
	    COMPLETION_CHUNK) {
		g_string_append(output, text);
		g_free(text);
	}
	if (result == COMPLETION_END)
		http_reply_json(res, 200,
		    response_json(req->id, chat,
			choice_json(chat, false, output->str, "stop")));
	else
		http_reply_failure(res, &f, req->id);
	completion_free(c);
}

/* Serves an admitted request and takes ownership of it. */
static void
serve_completion(struct request *req, const struct completion_params *p,
    const struct _u_request *in, struct _u_response *res)
{
	json_auto_t *body = NULL;
	struct completion *c;

	if (!client_api_claim(req, in, res)) {
		request_free(req);
		return;
	}
	req->prefix =
	    XXH64(p->prompt, MIN(strlen(p->prompt), PREFIX_BYTES), 0) | 1;
	body = json_pack("{s:s, s:I, s:I}", "prompt", p->prompt, "max_tokens",
	    p->max_tokens, "priority", p->priority);
	c = completion_create(req, body);
	if (p->stream)
		reply_stream(c, req, p->chat, res);
	else
		reply_complete(c, req, p->chat, res);
}

static int
handle_completion(const struct _u_request *in, struct _u_response *res,
    struct server *server, bool chat)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	CLEANUP(params_clear) struct completion_params p = { .chat = chat };
	json_auto_t *body = NULL;
	struct request *req;

	req = client_api_begin(server, in, &f);
	if (req == NULL) {
		http_reply_failure(res, &f, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	u_map_put(res->map_header, "Banklift-Request-Id", req->id);
	body = json_loadb(in->binary_body, in->binary_body_length, 0, NULL);
	if (!params_parse(&p, body, in, &f) ||
	    !client_api_set_service(req, p.model, false, &f) ||
	    !client_api_header_bool(in, "Banklift-Idempotent", true,
		&req->idempotent, &f) ||
	    !request_admit(req, &f)) {
		http_reply_failure(res, &f, req->id);
		request_end(req, OUTCOME_NOT_RUN, (int)res->status, NULL);
		request_free(req);
		return (U_CALLBACK_COMPLETE);
	}
	serve_completion(req, &p, in, res);
	return (U_CALLBACK_COMPLETE);
}

/**
 * client_api_completion() - handler of POST /v1/completions.
 * @in: the request as received
 * @res: the response
 * @arg: struct server
 */
int
client_api_completion(const struct _u_request *in, struct _u_response *res,
    void *arg)
{
	return (handle_completion(in, res, arg, false));
}

/**
 * client_api_chat() - handler of POST /v1/chat/completions.
 * @in: the request as received
 * @res: the response
 * @arg: struct server
 */
int
client_api_chat(const struct _u_request *in, struct _u_response *res, void *arg)
{
	return (handle_completion(in, res, arg, true));
}
