/*
 * Crashes of endpoints in the stand-in for the users' platform: a marked
 * request crashes each endpoint that runs it. Requests that daemons send too
 * often after that are reported in the journal.
 */
#include <arpa/inet.h>
#include <string.h>

#include "fake-platform.h"

#define MARK_RESET "ends-endpoint"
#define MARK_SILENT "silences-endpoint"
/* From the start of a marked request to the crash of its endpoint. */
#define CRASH_DELAY_MS 60
/* Time after which a crashed endpoint restarts, unless a switch sets it. */
#define RESTART_MS 2500
/* An entry lapses after three missed heartbeats. */
#define ENTRY_LAPSE_MS 900
/*
 * From GRACE_MS after a request's third crash on, daemons must recognize it:
 * three more arrivals are allowed, from all daemons. Daemons that were started
 * or paused within GRACE_MS are not counted.
 */
#define CRASHES_THRESHOLD 3
#define GRACE_MS 3000
#define EXTRA_ARRIVALS_MAX 3
#define FINGERPRINT_SHORT 8

/* A request that crashes endpoints, and its arrivals after GRACE_MS. */
struct crash_request {
	char *fingerprint;
	unsigned n_crashes;
	uint64_t threshold_ms;
	unsigned n_extra;
};

/* A crash that is scheduled. */
struct crash {
	uv_timer_t timer;
	struct fake_endpoint *endpoint;
	enum crash_mode mode;
	char *fingerprint;
	char *id;
};

static GPtrArray *requests;
static GHashTable *grace_starts;

/* Returns a hash of path, customer and body; equal for equal requests. */
static char *
crash_fingerprint(const struct conn *c)
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

/* Returns the state of a fingerprint, which is added if it is new. */
static struct crash_request *
crash_request_find(const char *fingerprint)
{
	struct crash_request *req;

	if (requests == NULL)
		requests = g_ptr_array_new();
	for (guint i = 0; i < requests->len; i++) {
		req = requests->pdata[i];
		if (strcmp(req->fingerprint, fingerprint) == 0)
			return (req);
	}
	req = g_new0(struct crash_request, 1);
	req->fingerprint = g_strdup(fingerprint);
	g_ptr_array_add(requests, req);
	return (req);
}

/* Returns how a request crashes its endpoint, by the mark in its body. */
static enum crash_mode
crash_marked_mode(const struct conn *c)
{
	const void *body = c->body->data;

	if (c->body->len == 0 || get_switch("harmless") != 0)
		return (CRASH_NONE);
	if (memmem(body, c->body->len, MARK_RESET, strlen(MARK_RESET)) != NULL)
		return (CRASH_RESET);
	if (memmem(body, c->body->len, MARK_SILENT, strlen(MARK_SILENT)) !=
	    NULL)
		return (CRASH_SILENT);
	return (CRASH_NONE);
}

static void
on_listener_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void
fake_endpoint_reset_conns(struct fake_endpoint *ep)
{
	struct conn *c, *next;

	for (c = TAILQ_FIRST(&ep->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (!c->stream.closing)
			net_stream_reset(&c->stream);
	}
}

/* Ends an endpoint's incarnation. */
void
fake_endpoint_crash(struct fake_endpoint *ep, enum crash_mode mode)
{
	ep->crash_mode = mode;
	ep->crashed_ms = uv_now(fake_loop);
	if (mode == CRASH_SILENT)
		return;
	uv_close((uv_handle_t *)ep->listener, on_listener_closed);
	ep->listener = NULL;
	fake_endpoint_reset_conns(ep);
}

static void
on_crash_closed(uv_handle_t *handle)
{
	struct crash *crash = handle->data;

	g_free(crash->fingerprint);
	g_free(crash->id);
	g_free(crash);
}

static void
on_crash(uv_timer_t *timer)
{
	struct crash *crash = timer->data;
	struct crash_request *req = crash_request_find(crash->fingerprint);

	if (crash->endpoint->crash_mode == CRASH_NONE) {
		req->n_crashes++;
		if (req->n_crashes == CRASHES_THRESHOLD)
			req->threshold_ms = uv_now(fake_loop);
		g_string_append_printf(fake_journal, "ended %s %s %u %s\n",
		    crash->endpoint->id, req->fingerprint, req->n_crashes,
		    crash->id);
		fake_endpoint_crash(crash->endpoint, crash->mode);
	}
	uv_close((uv_handle_t *)timer, on_crash_closed);
}

/* Schedules the crash if the request is marked; returns whether it is. */
bool
crash_schedule(struct conn *c)
{
	enum crash_mode mode = crash_marked_mode(c);
	struct crash *crash;

	if (mode == CRASH_NONE)
		return (false);
	crash = g_new0(struct crash, 1);
	crash->endpoint = c->endpoint;
	crash->mode = mode;
	crash->fingerprint = crash_fingerprint(c);
	crash->id = g_strdup(c->id);
	uv_timer_init(fake_loop, &crash->timer);
	crash->timer.data = crash;
	uv_timer_start(&crash->timer, on_crash, CRASH_DELAY_MS, 0);
	return (true);
}

/* Returns whether a daemon was started or paused within GRACE_MS. */
static bool
crash_in_grace(uint32_t source_ip, uint64_t now)
{
	const uint64_t *at = grace_starts != NULL ?
	    g_hash_table_lookup(grace_starts, GUINT_TO_POINTER(source_ip)) :
	    NULL;

	return (at != NULL && now - *at < GRACE_MS);
}

/* Counts a marked request, and reports it if there were too many. */
void
crash_check(const struct conn *c)
{
	g_autofree char *fingerprint = NULL;
	uint64_t now = uv_now(fake_loop);
	struct crash_request *req;

	if (crash_marked_mode(c) == CRASH_NONE ||
	    crash_in_grace(conn_source_ip(c), now))
		return;
	fingerprint = crash_fingerprint(c);
	req = crash_request_find(fingerprint);
	if (req->n_crashes < CRASHES_THRESHOLD ||
	    now - req->threshold_ms < GRACE_MS ||
	    ++req->n_extra <= EXTRA_ARRIVALS_MAX)
		return;
	g_string_append_printf(fake_journal, "over-crash %s %u %u %s\n",
	    req->fingerprint, req->n_extra, req->n_crashes, c->id);
}

/* Lets the entry of a crashed endpoint lapse, and restarts it in time. */
void
crash_tick(struct fake_endpoint *ep)
{
	uint64_t since = uv_now(fake_loop) - ep->crashed_ms;
	int restart_ms =
	    get_switch("back") != 0 ? get_switch("back") : RESTART_MS;

	if (ep->crash_mode == CRASH_NONE)
		return;
	if (since >= ENTRY_LAPSE_MS)
		topic_add(TOPIC_SERVERS, ep->id, "", 0);
	if (since < (uint64_t)MAX(restart_ms, ENTRY_LAPSE_MS))
		return;
	if (ep->crash_mode == CRASH_SILENT)
		fake_endpoint_crash(ep, CRASH_RESET);
	ep->crash_mode = CRASH_NONE;
	g_clear_pointer(&ep->group, g_free);
	g_clear_pointer(&ep->model, g_free);
	ep->epoch = 0;
	ep->max_epoch = 0;
	backoff_forget_endpoint(ep);
	limit_forget_endpoint(ep);
	fake_endpoint_listen(ep);
}

/* Begins the grace time of a daemon that was started or paused. */
void
crash_begin_grace(const char *ip)
{
	uint64_t *at = g_new(uint64_t, 1);

	if (grace_starts == NULL)
		grace_starts = g_hash_table_new_full(g_direct_hash,
		    g_direct_equal, NULL, g_free);
	*at = uv_now(fake_loop);
	g_hash_table_insert(grace_starts, GUINT_TO_POINTER(inet_addr(ip)), at);
}
