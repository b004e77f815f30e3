/* What the commands share: calls to a daemon and their failures. */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

#include "cmd.h"

/**
 * cmd_report_error() - print a daemon's typed error.
 * @reply: its answer
 *
 * Return: the exit code of the error's type.
 */
enum cmd_exit
cmd_report_error(const struct http_response *reply)
{
	const char *type = "unknown", *message = "";

	json_unpack(reply->json, "{s:{s:s, s:s}}", "error", "type", &type,
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
 * cmd_call() - call the first daemon.
 * @ctx: what the command line says
 * @method: HTTP method
 * @path: path of the operators' interface
 * @body: JSON, or NULL
 * @reply: the answer; free with http_response_clear()
 */
enum cmd_exit
cmd_call(const struct cmd_context *ctx, const char *method, const char *path,
    json_t *body, struct http_response *reply)
{
	g_autofree char *url = g_strconcat(ctx->urls[0], path, NULL);
	g_autoptr(GError) error = NULL;

	if (!http_client_send(method, url, body, ctx->token, ctx->timeout_ms,
		reply, &error)) {
		fprintf(stderr, "bankliftctl: %s: %s\n", url, error->message);
		return (CMD_UNAVAILABLE);
	}
	if (reply->status != 200)
		return (cmd_report_error(reply));
	return (CMD_OK);
}

/**
 * cmd_stream() - GET what is no JSON, and hand it on as it comes.
 * @ctx: what the command line says
 * @url: the whole URL
 * @write: as CURLOPT_WRITEFUNCTION
 * @arg: for @write
 *
 * Return: CMD_OK also when the time is up, which ends a watch.
 */
enum cmd_exit
cmd_stream(const struct cmd_context *ctx, const char *url,
    size_t (*write)(char *, size_t, size_t, void *), void *arg)
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
	rc = curl_easy_perform(curl);
	curl_slist_free_all(headers);
	curl_easy_cleanup(curl);
	if (rc == CURLE_OK || rc == CURLE_OPERATION_TIMEDOUT)
		return (CMD_OK);
	fprintf(stderr, "bankliftctl: %s: %s\n", url, curl_easy_strerror(rc));
	return (CMD_UNAVAILABLE);
}

/**
 * cmd_print_json() - print JSON for people.
 * @json: the JSON
 */
void
cmd_print_json(json_t *json)
{
	json_dumpf(json, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
}
