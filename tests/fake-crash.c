/*
 * Endpoints that end in the stand-in for the users' platform: a marked request
 * ends each endpoint that runs it, and how often it is sent on is judged.
 */
#include <arpa/inet.h>
#include <string.h>

#include "fake-platform.h"

#define MARK_RESET "ends-endpoint"
#define MARK_SILENT "silences-endpoint"
/* From the begin of a marked request to the end of its endpoint. */
#define CRASH_MS 60
/* Until an endpoint that ended is back, unless a switch says otherwise. */
#define BACK_MS 2500
/* An entry lapses after three beats that didn't come. */
#define LAPSE_MS 900
/* So many ends tell; what comes this much later counts, from callers that had
 * not been started or stood still in so long; and so many more may come. */
#define ENDS_TOLD 3
#define STABLE_MS 3000
#define MORE_MOST 3
#define FINGERPRINT_SHORT 8

/* What one work did. */
struct crash_work {
	char *work;
	unsigned ends;
	uint64_t told_ms;
	unsigned more;
};

/* An endpoint that is about to end. */
struct crash {
	uv_timer_t timer;
	struct point *point;
	enum point_end how;
	char *work;
	char *id;
};

static GPtrArray *works;
static GHashTable *excused;

/* The same for the same work: where, who and what. */
static char *
crash_name(const struct conn *c)
{
	g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);
	const char *tenant = net_head_find(&c->head, "tenant");
	const char *target = net_head_target(&c->head);

	g_checksum_update(sum, (const guchar *)target,
	    (gssize)strlen(target) + 1);
	if (tenant != NULL)
		g_checksum_update(sum, (const guchar *)tenant, -1);
	g_checksum_update(sum, c->body->data, (gssize)c->body->len);
	return (g_strndup(g_checksum_get_string(sum), FINGERPRINT_SHORT));
}

static struct crash_work *
crash_find(const char *name)
{
	struct crash_work *w;

	if (works == NULL)
		works = g_ptr_array_new();
	for (guint i = 0; i < works->len; i++) {
		w = works->pdata[i];
		if (strcmp(w->work, name) == 0)
			return (w);
	}
	w = g_new0(struct crash_work, 1);
	w->work = g_strdup(name);
	g_ptr_array_add(works, w);
	return (w);
}

/* How a request's body says that its endpoint is to end. */
static enum point_end
crash_mark(const struct conn *c)
{
	const void *body = c->body->data;

	if (c->body->len == 0 || get_switch("harmless") != 0)
		return (END_NONE);
	if (memmem(body, c->body->len, MARK_RESET, strlen(MARK_RESET)) != NULL)
		return (END_RESET);
	if (memmem(body, c->body->len, MARK_SILENT, strlen(MARK_SILENT)) !=
	    NULL)
		return (END_SILENT);
	return (END_NONE);
}

static void
on_listener_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
point_hang_up(struct point *p)
{
	struct conn *c, *next;

	for (c = TAILQ_FIRST(&p->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (!c->stream.closing)
			net_stream_reset(&c->stream);
	}
}

static void
point_end(struct point *p, enum point_end how)
{
	p->end = how;
	p->ended_ms = uv_now(fake_loop);
	if (how == END_SILENT)
		return;
	uv_close((uv_handle_t *)p->listener, on_listener_closed);
	p->listener = NULL;
	point_hang_up(p);
}

static void
on_crash_closed(uv_handle_t *handle)
{
	struct crash *crash = handle->data;

	g_free(crash->work);
	g_free(crash->id);
	g_free(crash);
}

static void
on_crash(uv_timer_t *timer)
{
	struct crash *crash = timer->data;
	struct crash_work *w = crash_find(crash->work);

	if (crash->point->end == END_NONE) {
		w->ends++;
		if (w->ends == ENDS_TOLD)
			w->told_ms = uv_now(fake_loop);
		g_string_append_printf(fake_journal, "ended %s %s %u %s\n",
		    crash->point->id, w->work, w->ends, crash->id);
		point_end(crash->point, crash->how);
	}
	uv_close((uv_handle_t *)timer, on_crash_closed);
}

/* Begins to run a request; true where it will end its endpoint. */
bool
crash_begin(struct conn *c)
{
	enum point_end how = crash_mark(c);
	struct crash *crash;

	if (how == END_NONE)
		return (false);
	crash = g_new0(struct crash, 1);
	crash->point = c->point;
	crash->how = how;
	crash->work = crash_name(c);
	crash->id = g_strdup(c->id);
	uv_timer_init(fake_loop, &crash->timer);
	crash->timer.data = crash;
	uv_timer_start(&crash->timer, on_crash, CRASH_MS, 0);
	return (true);
}

/* Whether a caller was started, or stood still, a short while ago. */
static bool
crash_excused(uint32_t caller, uint64_t now)
{
	const uint64_t *at = excused != NULL ?
	    g_hash_table_lookup(excused, GUINT_TO_POINTER(caller)) :
	    NULL;

	return (at != NULL && now - *at < STABLE_MS);
}

/* Counts a marked request, and complains where it comes too often. */
void
crash_judge(const struct conn *c)
{
	g_autofree char *name = NULL;
	uint64_t now = uv_now(fake_loop);
	struct crash_work *w;

	if (crash_mark(c) == END_NONE || crash_excused(conn_caller(c), now))
		return;
	name = crash_name(c);
	w = crash_find(name);
	if (w->ends < ENDS_TOLD || now - w->told_ms < STABLE_MS ||
	    ++w->more <= MORE_MOST)
		return;
	g_string_append_printf(fake_journal, "over-crash %s %u %u %s\n",
	    w->work, w->more, w->ends, c->id);
}

/* Lets time pass for an endpoint that has ended. */
void
crash_beat(struct point *p)
{
	uint64_t since = uv_now(fake_loop) - p->ended_ms;
	int back = get_switch("back") != 0 ? get_switch("back") : BACK_MS;

	if (p->end == END_NONE)
		return;
	if (since >= LAPSE_MS)
		topic_add(TOPIC_SERVERS, p->id, "", 0);
	if (since < (uint64_t)MAX(back, LAPSE_MS))
		return;
	if (p->end == END_SILENT)
		point_end(p, END_RESET);
	p->end = END_NONE;
	g_clear_pointer(&p->group, g_free);
	g_clear_pointer(&p->model, g_free);
	p->epoch = 0;
	p->seen_epoch = 0;
	rest_forget(p);
	limit_forget(p);
	point_listen(p);
}

/* What comes soon from a caller that is started, or stood still, is not judged.
 */
void
crash_excuse(const char *ip)
{
	uint64_t *at = g_new(uint64_t, 1);

	if (excused == NULL)
		excused = g_hash_table_new_full(g_direct_hash, g_direct_equal,
		    NULL, g_free);
	*at = uv_now(fake_loop);
	g_hash_table_insert(excused, GUINT_TO_POINTER(inet_addr(ip)), at);
}
