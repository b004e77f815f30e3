/* Calls to a daemon and their errors, for all commands. */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "cleanup.h"
#include "cmd.h"
#include "http-head.h"

/**
 * cmd_report_error() - print the typed error of a daemon's response.
 * @response: the response
 *
 * Return: the exit code for the type of the error.
 */
enum cmd_exit
cmd_report_error(const struct http_response *response)
{
	const char *type = "unknown", *message = "";

	json_unpack(response->json, "{s:{s:s, s:s}}", "error", "type", &type,
	    "message", &message);
	fprintf(stderr, "bankliftctl: %s: %s\n", type, message);
	if (strcmp(type, "conflict") == 0)
		return (CMD_CONFLICT);
	if (strcmp(type, "not_found") == 0)
		return (CMD_NOT_FOUND);
	if (strcmp(type, "log_unavailable") == 0)
		return (CMD_UNAVAILABLE);
	return (CMD_FAILED);
}

/**
 * cmd_call() - send a request to the first daemon of the list.
 * @ctx: options and arguments of the command line
 * @method: HTTP method
 * @path: path in the operators' interface
 * @body: JSON body, or NULL
 * @response: filled in; free with http_response_clear()
 *
 * Return: CMD_OK if the status is 200; otherwise the error is printed and its
 * exit code returned.
 */
enum cmd_exit
cmd_call(const struct cmd_context *ctx, const char *method, const char *path,
    json_t *body, struct http_response *response)
{
	g_autofree char *url = g_strconcat(ctx->urls[0], path, NULL);
	g_autoptr(GError) error = NULL;

	if (!http_client_send(method, url, body, ctx->token, ctx->timeout_ms,
		response, &error)) {
		fprintf(stderr, "bankliftctl: %s: %s\n", url, error->message);
		return (CMD_UNAVAILABLE);
	}
	if (response->status != 200)
		return (cmd_report_error(response));
	return (CMD_OK);
}

/* Runs a GET whose body is passed on as it arrives. */
static CURLcode
stream_perform(const struct cmd_context *ctx, const char *url,
    size_t (*write)(char *, size_t, size_t, void *), void *arg,
    struct http_head *head)
{
	g_autofree char *auth = NULL;
	struct curl_slist *headers;
	CURL *curl = curl_easy_init();
	CURLcode rc;

	auth = g_strconcat("Authorization: Bearer ", ctx->token, NULL);
	headers = curl_slist_append(NULL, auth);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_FAILONERROR, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)ctx->timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, write);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, arg);
	http_head_watch(head, curl);
	rc = curl_easy_perform(curl);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	return (rc);
}

/* Reports a GET that brought no whole response. */
static enum cmd_exit
stream_report(const char *url, CURLcode rc)
{
	fprintf(stderr, "bankliftctl: %s: %s\n", url, http_head_error(rc));
	return (CMD_UNAVAILABLE);
}

/**
 * cmd_stream() - GET a body that is not JSON and pass it on as it arrives.
 * @ctx: options and arguments of the command line
 * @url: complete URL
 * @write: callback as for CURLOPT_WRITEFUNCTION
 * @arg: argument of @write
 *
 * Return: CMD_OK at the end of the body, and when the time limit has passed,
 * which is how a watch ends; otherwise CMD_UNAVAILABLE, after a message on
 * standard error.
 */
enum cmd_exit
cmd_stream(const struct cmd_context *ctx, const char *url,
    size_t (*write)(char *, size_t, size_t, void *), void *arg)
{
	CLEANUP(http_head_clear) struct http_head head;
	CURLcode rc;

	rc = stream_perform(ctx, url, write, arg, &head);
	if (http_head_whole(&head, rc) ||
	    (rc == CURLE_OPERATION_TIMEDOUT && head.complete))
		return (CMD_OK);
	return (stream_report(url, rc));
}

static size_t
page_write(char *data, size_t size, size_t n, void *arg)
{
	g_string_append_len(arg, data, (gssize)(size * n));
	return (size * n);
}

/**
 * cmd_page() - GET a body that is not JSON.
 * @ctx: options and arguments of the command line
 * @url: complete URL
 * @page: text to append the body to
 *
 * Return: CMD_OK if all of it came; otherwise CMD_UNAVAILABLE, after a message
 * on standard error.
 */
enum cmd_exit
cmd_page(const struct cmd_context *ctx, const char *url, GString *page)
{
	CLEANUP(http_head_clear) struct http_head head;
	CURLcode rc;

	rc = stream_perform(ctx, url, page_write, page, &head);
	if (http_head_whole(&head, rc))
		return (CMD_OK);
	return (stream_report(url, rc));
}

/**
 * cmd_print_json() - print JSON indented and with sorted keys.
 * @json: what to print
 */
void
cmd_print_json(json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
}
