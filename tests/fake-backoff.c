/*
 * Backoff and leaving in the stand-in for the users' platform: an endpoint
 * refuses requests for some time, or says in its responses that it leaves.
 * Requests that notified daemons send all the same are reported in the
 * journal.
 */
#include <arpa/inet.h>
#include <string.h>

#include "fake-platform.h"

/* Time for requests sent before the daemon was notified to arrive. */
#define BACKOFF_IN_FLIGHT_MS 500
/* Requests that a daemon may send in the remaining backoff. */
#define BACKOFF_REQUESTS_MAX 2
/* A daemon that knows that the endpoint leaves sends nothing after this. */
#define LEAVING_IN_FLIGHT_MS 1000

/* What a daemon was told by an endpoint, and its requests since then. */
struct notice {
	const struct fake_endpoint *endpoint;
	uint32_t source_ip;
	bool leaving;
	uint64_t from_ms;
	uint64_t to_ms;
	unsigned n_requests;
};

static GArray *notices;

static GArray *
notices_get(void)
{
	if (notices == NULL)
		notices = g_array_new(FALSE, TRUE, sizeof(struct notice));
	return (notices);
}

/* Returns the address that a connection comes from. */
uint32_t
conn_source_ip(const struct conn *c)
{
	struct sockaddr_in addr = { 0 };
	int length = sizeof addr;

	uv_tcp_getpeername(&c->stream.tcp, (struct sockaddr *)&addr, &length);
	return (addr.sin_addr.s_addr);
}

static void
notice_report(const struct notice *notice, const struct conn *c)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &notice->source_ip, ip, sizeof ip);
	g_string_append_printf(fake_journal, "%s %s %s %u %s\n",
	    notice->leaving ? "after-leaving" : "in-rest", notice->endpoint->id,
	    ip, notice->n_requests, c->id);
}

/* Counts a request, reports it if it is not allowed; drops old notices. */
void
backoff_check(const struct conn *c)
{
	uint32_t source_ip = conn_source_ip(c);
	uint64_t now = uv_now(fake_loop);
	GArray *all = notices_get();
	bool reported = false;

	for (guint i = all->len; i > 0; i--) {
		struct notice *notice =
		    &g_array_index(all, struct notice, i - 1);

		if (now >= notice->to_ms) {
			g_array_remove_index_fast(all, i - 1);
			continue;
		}
		if (notice->endpoint != c->endpoint ||
		    notice->source_ip != source_ip || now < notice->from_ms)
			continue;
		notice->n_requests++;
		if (reported ||
		    notice->n_requests <=
			(notice->leaving ? 0 : BACKOFF_REQUESTS_MAX))
			continue;
		notice_report(notice, c);
		reported = true;
	}
}

static void
notice_add(const struct conn *c, bool leaving, uint64_t after, uint64_t until)
{
	const uint64_t now = uv_now(fake_loop);
	const struct notice notice = { c->endpoint, conn_source_ip(c), leaving,
		now + after, until == UINT64_MAX ? until : now + until, 0 };

	g_array_append_val(notices_get(), notice);
}

/* Refuses a request if the endpoint is in backoff; returns whether it did. */
bool
backoff_refuse(struct conn *c)
{
	int ms = fake_endpoint_switch("rest", c->endpoint);
	g_autofree char *headers = NULL, *own_headers = NULL;

	if (ms == 0)
		return (false);
	own_headers = fake_endpoint_headers(c);
	headers =
	    g_strdup_printf("Not-Executed: 1\r\n%sRetry-After: %d.%03d\r\n",
		own_headers, ms / 1000, ms % 1000);
	notice_add(c, false, BACKOFF_IN_FLIGHT_MS, (uint64_t)ms);
	conn_reply(c, 503, headers, "", 0);
	return (true);
}

/* Returns the response header of an endpoint that leaves; else empty. */
const char *
backoff_leaving_header(const struct conn *c)
{
	if (fake_endpoint_switch("leaving", c->endpoint) == 0)
		return ("");
	notice_add(c, true, LEAVING_IN_FLIGHT_MS, UINT64_MAX);
	return ("Server-Leaving: 1\r\n");
}

/* Forgets what was told to a daemon that was restarted or paused. */
void
backoff_forget_daemon(const char *ip)
{
	GArray *all = notices_get();
	uint32_t source_ip = inet_addr(ip);

	for (guint i = all->len; i > 0; i--) {
		if (g_array_index(all, struct notice, i - 1).source_ip ==
		    source_ip)
			g_array_remove_index_fast(all, i - 1);
	}
}

/* Forgets what an endpoint's former incarnation has told. */
void
backoff_forget_endpoint(const struct fake_endpoint *ep)
{
	GArray *all = notices_get();

	for (guint i = all->len; i > 0; i--) {
		if (g_array_index(all, struct notice, i - 1).endpoint == ep)
			g_array_remove_index_fast(all, i - 1);
	}
}
