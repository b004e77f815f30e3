/*
 * Rate limits in the stand-in for the users' platform: the responses of an
 * endpoint name the requests per second that it takes from all daemons
 * together. Requests beyond that from notified daemons are reported in the
 * journal.
 */
#include <arpa/inet.h>

#include "fake-platform.h"

/* Switches are in 1/1000 requests/s; below 0: a value that is no number. */
#define LIMIT_UNIT 1000.0
/* Time for the daemons to learn of a limit from each other. */
#define LIMIT_PROPAGATION_MS 3000
/* Time for requests sent before the daemon was notified to arrive. */
#define LIMIT_IN_FLIGHT_MS 500
/* Allowed in each window: LIMIT_FACTOR times the limit, and LIMIT_EXTRA. */
#define LIMIT_WINDOW_MS 4000
#define LIMIT_FACTOR 1.5
#define LIMIT_EXTRA 5

/* When a daemon was first notified of a limit, or sent a request. */
struct limit_mark {
	uint32_t source_ip;
	uint64_t at_ms;
};

/* The limit of an endpoint; the arrays are of struct limit_mark. */
struct named_limit {
	const struct fake_endpoint *endpoint;
	int limit;
	uint64_t named_ms;
	GArray *notified;
	GArray *requests;
};

static GPtrArray *named_limits;

static void
named_limit_free(void *data)
{
	struct named_limit *l = data;

	g_array_free(l->notified, TRUE);
	g_array_free(l->requests, TRUE);
	g_free(l);
}

static struct named_limit *
named_limit_find(const struct fake_endpoint *ep)
{
	if (named_limits == NULL)
		named_limits = g_ptr_array_new_with_free_func(named_limit_free);
	for (guint i = 0; i < named_limits->len; i++) {
		struct named_limit *l = named_limits->pdata[i];

		if (l->endpoint == ep)
			return (l);
	}
	return (NULL);
}

/* Returns an endpoint's current limit or NULL; a changed one starts anew. */
static struct named_limit *
named_limit_current(const struct fake_endpoint *ep)
{
	struct named_limit *l = named_limit_find(ep);
	int limit = fake_endpoint_switch("limit", ep);

	if (l != NULL && l->limit != limit) {
		g_ptr_array_remove(named_limits, l);
		l = NULL;
	}
	if (l != NULL || limit == 0)
		return (l);
	l = g_new0(struct named_limit, 1);
	l->endpoint = ep;
	l->limit = limit;
	l->named_ms = uv_now(fake_loop);
	l->notified = g_array_new(FALSE, FALSE, sizeof(struct limit_mark));
	l->requests = g_array_new(FALSE, FALSE, sizeof(struct limit_mark));
	g_ptr_array_add(named_limits, l);
	return (l);
}

/* Returns whether a daemon was notified LIMIT_IN_FLIGHT_MS ago or more. */
static bool
limit_known_to(const struct named_limit *l, uint32_t source_ip, uint64_t now)
{
	for (guint i = 0; i < l->notified->len; i++) {
		const struct limit_mark *mark =
		    &g_array_index(l->notified, struct limit_mark, i);

		if (mark->source_ip == source_ip)
			return (now - mark->at_ms >= LIMIT_IN_FLIGHT_MS);
	}
	return (false);
}

static void
limit_notify(struct named_limit *l, uint32_t source_ip)
{
	const struct limit_mark mark = { source_ip, uv_now(fake_loop) };

	for (guint i = 0; i < l->notified->len; i++) {
		if (g_array_index(l->notified, struct limit_mark, i)
			.source_ip == source_ip)
			return;
	}
	g_array_append_val(l->notified, mark);
}

static void
limit_drop_old(struct named_limit *l, uint64_t now)
{
	guint old = 0;

	while (old < l->requests->len &&
	    now - g_array_index(l->requests, struct limit_mark, old).at_ms >=
		LIMIT_WINDOW_MS)
		old++;
	g_array_remove_range(l->requests, 0, old);
}

/* Counts a request, and reports it if the last window had too many. */
void
limit_check(const struct conn *c)
{
	struct named_limit *l = named_limit_current(c->endpoint);
	uint64_t now = uv_now(fake_loop);
	const struct limit_mark request = { conn_source_ip(c), now };
	double allowed;

	if (l == NULL || !limit_known_to(l, request.source_ip, now))
		return;
	limit_drop_old(l, now);
	g_array_append_val(l->requests, request);
	allowed =
	    LIMIT_FACTOR * l->limit / LIMIT_UNIT * LIMIT_WINDOW_MS / 1000 +
	    LIMIT_EXTRA;
	if (l->limit < 0 || now - l->named_ms < LIMIT_PROPAGATION_MS ||
	    l->requests->len <= allowed)
		return;
	g_string_append_printf(fake_journal, "over-limit %s %u of %.1f %s\n",
	    c->endpoint->id, l->requests->len, allowed, c->id);
}

/* Returns the response header that names the limit; empty without one. */
char *
limit_header(const struct conn *c)
{
	struct named_limit *l = named_limit_current(c->endpoint);

	if (l == NULL)
		return (g_strdup(""));
	limit_notify(l, conn_source_ip(c));
	if (l->limit < 0)
		return (g_strdup("Server-Limit: few\r\n"));
	return (
	    g_strdup_printf("Server-Limit: %.3f\r\n", l->limit / LIMIT_UNIT));
}

static void
marks_remove(GArray *marks, uint32_t source_ip)
{
	for (guint i = marks->len; i > 0; i--) {
		if (g_array_index(marks, struct limit_mark, i - 1).source_ip ==
		    source_ip)
			g_array_remove_index(marks, i - 1);
	}
}

/* Forgets a daemon that was restarted or paused. */
void
limit_forget_daemon(const char *ip)
{
	uint32_t source_ip = inet_addr(ip);

	for (guint i = 0; named_limits != NULL && i < named_limits->len; i++) {
		const struct named_limit *l = named_limits->pdata[i];

		marks_remove(l->notified, source_ip);
		marks_remove(l->requests, source_ip);
	}
}

/* Forgets the limit of an endpoint's former incarnation. */
void
limit_forget_endpoint(const struct fake_endpoint *ep)
{
	struct named_limit *l = named_limit_find(ep);

	if (l != NULL)
		g_ptr_array_remove(named_limits, l);
}
