/*
 * Rest and leaving in the stand-in for the users' platform: an endpoint turns
 * requests away for a while, or says that it leaves, and what it gets from
 * each caller all the same is judged.
 */
#include <arpa/inet.h>
#include <string.h>

#include "fake-platform.h"

/* What was on its way when a rest was asked for is there by then. */
#define REST_CROSSING_MS 500
/* So many requests may come in the rest that is left. */
#define REST_REQUESTS_MOST 2
/* A caller that was told of the leaving sends nothing new after this. */
#define LEAVING_MS 1000

/* What an endpoint told a caller, and got from it since. */
struct told {
	const struct point *point;
	uint32_t caller;
	bool leaving;
	uint64_t from_ms;
	uint64_t to_ms;
	unsigned came;
};

static GArray *tolds;

static GArray *
rest_tolds(void)
{
	if (tolds == NULL)
		tolds = g_array_new(FALSE, TRUE, sizeof(struct told));
	return (tolds);
}

/* The address that a connection comes from. */
uint32_t
conn_caller(const struct conn *c)
{
	struct sockaddr_in addr = { 0 };
	int length = sizeof addr;

	uv_tcp_getpeername(&c->stream.tcp, (struct sockaddr *)&addr, &length);
	return (addr.sin_addr.s_addr);
}

static void
told_complain(const struct told *told, const struct conn *c)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &told->caller, ip, sizeof ip);
	g_string_append_printf(fake_journal, "%s %s %s %u %s\n",
	    told->leaving ? "after-leaving" : "in-rest", told->point->id, ip,
	    told->came, c->id);
}

/* Counts a request in all that its caller was told; forgets what is over. */
void
rest_judge(const struct conn *c)
{
	uint32_t caller = conn_caller(c);
	uint64_t now = uv_now(fake_loop);
	GArray *all = rest_tolds();
	bool complained = false;

	for (guint i = all->len; i > 0; i--) {
		struct told *told = &g_array_index(all, struct told, i - 1);

		if (now >= told->to_ms) {
			g_array_remove_index_fast(all, i - 1);
			continue;
		}
		if (told->point != c->point || told->caller != caller ||
		    now < told->from_ms)
			continue;
		told->came++;
		if (complained ||
		    told->came <= (told->leaving ? 0 : REST_REQUESTS_MOST))
			continue;
		told_complain(told, c);
		complained = true;
	}
}

static void
told_add(const struct conn *c, bool leaving, uint64_t after, uint64_t until)
{
	const uint64_t now = uv_now(fake_loop);
	const struct told told = { c->point, conn_caller(c), leaving,
		now + after, until == UINT64_MAX ? until : now + until, 0 };

	g_array_append_val(rest_tolds(), told);
}

/* Turns a request away where the endpoint rests; whether it did. */
bool
rest_refuse(struct conn *c)
{
	int ms = point_switch("rest", c->point);
	g_autofree char *headers = NULL, *said = NULL;

	if (ms == 0)
		return (false);
	said = point_says(c);
	headers =
	    g_strdup_printf("Not-Executed: 1\r\n%sRetry-After: %d.%03d\r\n",
		said, ms / 1000, ms % 1000);
	told_add(c, false, REST_CROSSING_MS, (uint64_t)ms);
	conn_reply(c, 503, headers, "", 0);
	return (true);
}

/* The header of an answer where the endpoint leaves; empty otherwise. */
const char *
rest_leaving(const struct conn *c)
{
	if (point_switch("leaving", c->point) == 0)
		return ("");
	told_add(c, true, LEAVING_MS, UINT64_MAX);
	return ("Server-Leaving: 1\r\n");
}

/* Forgets what a caller was told: it is started anew, or stands still. */
void
rest_excuse(const char *ip)
{
	GArray *all = rest_tolds();
	uint32_t caller = inet_addr(ip);

	for (guint i = all->len; i > 0; i--) {
		if (g_array_index(all, struct told, i - 1).caller == caller)
			g_array_remove_index_fast(all, i - 1);
	}
}

/* An endpoint is a new incarnation, which has told nobody. */
void
rest_forget(const struct point *p)
{
	GArray *all = rest_tolds();

	for (guint i = all->len; i > 0; i--) {
		if (g_array_index(all, struct told, i - 1).point == p)
			g_array_remove_index_fast(all, i - 1);
	}
}
