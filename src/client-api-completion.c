/* POST /v1/completions and /v1/chat/completions, streamed and not. */
#include <string.h>
#include <xxhash.h>

#include "client-api.h"
#include "cleanup.h"
#include "completion.h"
#include "http-reply.h"
#include "text-stream.h"

#define MAX_TOKENS_DEFAULT 256
#define MAX_TOKENS_MAX 32768
#define PRIORITY_MAX 9
/* Prompts that agree in this many bytes go to the same replica. */
#define PREFIX_BYTES 256
#define STREAM_BLOCK 4096

/* What a caller asks, after the checks. */
struct ask {
	const char *model;
	char *prompt;
	json_int_t max_tokens;
	json_int_t priority;
	bool stream;
	bool chat;
};

/* A streamed answer on its way to the caller. */
struct stream {
	struct completion *completion;
	char *id;
	bool chat;
	bool ended;
	GString *pending;
};

static void
ask_clear(struct ask *ask)
{
	g_free(ask->prompt);
}

static bool
bad_field(struct failure *f, const char *what)
{
	failure_set(f, ERROR_BAD_FIELD, OUTCOME_NOT_RUN, 0, "%s", what);
	return (false);
}

/* Joins the messages of a chat into one prompt. */
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
ask_numbers(struct ask *ask, json_t *body, struct failure *f)
{
	json_t *max = json_object_get(body, "max_tokens");
	json_t *stream = json_object_get(body, "stream");

	ask->max_tokens = MAX_TOKENS_DEFAULT;
	if (max != NULL) {
		ask->max_tokens = json_integer_value(max);
		if (ask->max_tokens < 1 || ask->max_tokens > MAX_TOKENS_MAX)
			return (bad_field(f, "max_tokens: must be 1 to 32768"));
	}
	if (stream != NULL && !json_is_boolean(stream))
		return (bad_field(f, "stream: must be true or false"));
	ask->stream = json_is_true(stream);
	return (true);
}

static bool
ask_priority(struct ask *ask, const struct _u_request *in, struct failure *f)
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
	ask->priority = (json_int_t)priority;
	return (true);
}

/* Checks the body of a completion. */
static bool
ask_parse(struct ask *ask, json_t *body, const struct _u_request *in,
    struct failure *f)
{
	if (!json_is_object(body)) {
		failure_set(f, ERROR_BAD_JSON, OUTCOME_NOT_RUN, 0,
		    "the body must be a JSON object");
		return (false);
	}
	ask->model = json_string_value(json_object_get(body, "model"));
	if (ask->model == NULL)
		return (bad_field(f, "model: must be a string"));
	if (ask->chat)
		ask->prompt = chat_prompt(json_object_get(body, "messages"));
	else
		ask->prompt = g_strdup(
		    json_string_value(json_object_get(body, "prompt")));
	if (ask->prompt == NULL)
		return (bad_field(f,
		    ask->chat ?
			"messages: must be objects of role and content" :
			"prompt: must be a string"));
	return (ask_numbers(ask, body, f) && ask_priority(ask, in, f));
}

/* The piece of an OpenAI-style answer that carries some text. */
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
answer_json(const char *id, bool chat, json_t *choice)
{
	return (json_pack("{s:s, s:s, s:[o]}", "id", id, "object",
	    chat ? "chat.completion" : "text_completion", "choices", choice));
}

static void
stream_event(struct stream *s, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	g_string_append_printf(s->pending, "data: %s\n\n", text);
	free(text);
	json_decref(json);
}

/* Waits for the next chunk and queues what the caller is to get. */
static void
stream_advance(struct stream *s)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	g_autofree char *text = NULL;

	switch (completion_next(s->completion, &text, &f)) {
	case COMPLETION_CHUNK:
		stream_event(s,
		    answer_json(s->id, s->chat,
			choice_json(s->chat, true, text, NULL)));
		return;
	case COMPLETION_END:
		stream_event(s,
		    answer_json(s->id, s->chat,
			choice_json(s->chat, true, "", "stop")));
		/* The end mark: sent only when the answer is whole. */
		g_string_append(s->pending, "data: [DONE]\n\n");
		break;
	case COMPLETION_FAILED:
		g_string_append(s->pending, "event: error\n");
		stream_event(s, http_failure_json(&f, s->id));
		break;
	}
	s->ended = true;
}

/* Called by the HTTP server whenever the caller can take more. */
static ssize_t
stream_read(void *arg, uint64_t offset, char *out, size_t max)
{
	struct stream *s = arg;

	if (s->pending->len == 0 && s->ended)
		return (U_STREAM_END);
	if (s->pending->len == 0)
		stream_advance(s);
	return (text_stream_take(s->pending, out, max));
}

/* Called once the caller has all, or has gone away. */
static void
stream_free(void *arg)
{
	struct stream *s = arg;

	completion_free(s->completion);
	g_string_free(s->pending, TRUE);
	g_free(s->id);
	g_free(s);
}

/*
 * Begins a stream. The first chunk is waited for, so that a failure before it
 * is answered with a status of its own.
 */
static void
reply_stream(struct completion *c, const struct request *req, bool chat,
    struct _u_response *res)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	g_autofree char *text = NULL;
	enum completion_result step;
	struct stream *s;

	step = completion_next(c, &text, &f);
	if (step == COMPLETION_FAILED) {
		http_reply_failure(res, &f, req->id);
		completion_free(c);
		return;
	}
	s = g_new0(struct stream, 1);
	s->completion = c;
	s->id = g_strdup(req->id);
	s->chat = chat;
	s->pending = g_string_new(NULL);
	if (step == COMPLETION_CHUNK) {
		stream_event(s,
		    answer_json(s->id, chat,
			choice_json(chat, true, text, NULL)));
	} else {
		g_string_append(s->pending, "data: [DONE]\n\n");
		s->ended = true;
	}
	u_map_put(res->map_header, "Content-Type", "text/event-stream");
	ulfius_set_stream_response(res, 200, stream_read, stream_free,
	    U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK, s);
}

/* Waits for the whole answer and gives it at once. */
static void
reply_whole(struct completion *c, const struct request *req, bool chat,
    struct _u_response *res)
{
	g_autoptr(GString) answer = g_string_new(NULL);
	CLEANUP(failure_clear) struct failure f = { 0 };
	enum completion_result step;
	char *text;

	while ((step = completion_next(c, &text, &f)) == COMPLETION_CHUNK) {
		g_string_append(answer, text);
		g_free(text);
	}
	if (step == COMPLETION_END)
		http_reply_json(res, 200,
		    answer_json(req->id, chat,
			choice_json(chat, false, answer->str, "stop")));
	else
		http_reply_failure(res, &f, req->id);
	completion_free(c);
}

/* Serves an admitted request; it is taken over. */
static void
serve(struct request *req, const struct ask *ask, const struct _u_request *in,
    struct _u_response *res)
{
	json_auto_t *body = NULL;
	struct completion *c;

	if (!client_api_claim(req, in, res)) {
		request_free(req);
		return;
	}
	req->prefix =
	    XXH64(ask->prompt, MIN(strlen(ask->prompt), PREFIX_BYTES), 0) | 1;
	body = json_pack("{s:s, s:I, s:I}", "prompt", ask->prompt, "max_tokens",
	    ask->max_tokens, "priority", ask->priority);
	c = completion_create(req, body);
	if (ask->stream)
		reply_stream(c, req, ask->chat, res);
	else
		reply_whole(c, req, ask->chat, res);
}

static int
handle(const struct _u_request *in, struct _u_response *res,
    struct server *server, bool chat)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	CLEANUP(ask_clear) struct ask ask = { .chat = chat };
	json_auto_t *body = NULL;
	struct request *req;

	req = client_api_begin(server, in, &f);
	if (req == NULL) {
		http_reply_failure(res, &f, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	u_map_put(res->map_header, "Banklift-Request-Id", req->id);
	body = json_loadb(in->binary_body, in->binary_body_length, 0, NULL);
	if (!ask_parse(&ask, body, in, &f) ||
	    !client_api_set_service(req, ask.model, false, &f) ||
	    !client_api_header_bool(in, "Banklift-Idempotent", true,
		&req->idempotent, &f) ||
	    !request_admit(req, &f)) {
		http_reply_failure(res, &f, req->id);
		request_end(req, OUTCOME_NOT_RUN, (int)res->status, NULL);
		request_free(req);
		return (U_CALLBACK_COMPLETE);
	}
	serve(req, &ask, in, res);
	return (U_CALLBACK_COMPLETE);
}

/**
 * client_api_completion() - handler of POST /v1/completions.
 * @in: the request
 * @res: the answer
 * @arg: the daemon
 */
int
client_api_completion(const struct _u_request *in, struct _u_response *res,
    void *arg)
{
	return (handle(in, res, arg, false));
}

/**
 * client_api_chat() - handler of POST /v1/chat/completions.
 * @in: the request
 * @res: the answer
 * @arg: the daemon
 */
int
client_api_chat(const struct _u_request *in, struct _u_response *res, void *arg)
{
	return (handle(in, res, arg, true));
}
