/* Shared declarations of the stand-in for the users' platform. */
#ifndef TESTS_FAKE_PLATFORM_H
#define TESTS_FAKE_PLATFORM_H

#include <jansson.h>
#include <sys/queue.h>

#include "net-head.h"
#include "net-stream.h"

/* Port of the store and of each endpoint. */
#define FAKE_PORT 9000
enum topic {
	TOPIC_OP,
	TOPIC_SERVERS,
	TOPIC_PLACEMENT,
	TOPIC_DAEMONS,
	TOPICS,
};

/* How an endpoint has crashed; CRASH_NONE while it runs. */
enum crash_mode {
	CRASH_NONE,
	CRASH_RESET,
	CRASH_SILENT,
};

/*
 * What marks a request that crashes its endpoint. mode: how it does so, or
 * CRASH_NONE; name: equal for all requests with the same mark; crashes: after
 * that many, daemons must recognize it.
 */
struct crash_mark {
	enum crash_mode mode;
	char *name;
	unsigned crashes;
};

TAILQ_HEAD(conn_list, conn);

/*
 * An engine or plain endpoint. max_epoch: highest epoch of a join so far;
 * stalled_ms: when the head's group lost a member; n_runs: requests run;
 * full_fd, queued_fd: listening socket with a full queue, and the connection in
 * it, while the endpoint accepts none; stopped_until_ms: when it goes on, 0 if
 * it is not stopped.
 */
struct fake_endpoint {
	char ip[32];
	char id[32];
	char name[16];
	unsigned starts;
	enum crash_mode crash_mode;
	uint64_t crashed_ms;
	uv_tcp_t *listener;
	struct conn_list conns;
	bool engine;
	char *group;
	int64_t epoch;
	int64_t max_epoch;
	int rank;
	unsigned size;
	uint64_t stalled_ms;
	char *model;
	char *staged;
	const char *state;
	uint64_t ready_ms;
	unsigned n_runs;
	int full_fd;
	int queued_fd;
	uint64_t stopped_until_ms;
};

/*
 * A connection to any of the addresses. endpoint: NULL at the store's;
 * handles: libuv handles not yet closed; unframed: the response to the request
 * ends with the connection; event: next event of the stream;
 * mute_at_accept: value of the switch "mute" when it was accepted; paced: what
 * is still to be sent of a response in pieces, or NULL.
 */
struct conn {
	struct net_stream stream;
	http_parser parser;
	struct net_head head;
	GByteArray *body;
	struct fake_endpoint *endpoint;
	uv_timer_t timer;
	int handles;
	char *id;
	bool streaming;
	bool unframed;
	int event;
	int last;
	int mute_at_accept;
	GString *paced;
	TAILQ_ENTRY(conn) entry;
};

extern uv_loop_t *fake_loop;
extern GPtrArray *fake_endpoints;
extern GHashTable *fake_switches;
extern GString *fake_journal;

/* standin-platform.c: switches and responses. */
int get_switch(const char *);
int fake_endpoint_switch(const char *, const struct fake_endpoint *);
bool consume_switch(const char *);
void conn_reply(struct conn *, unsigned, const char *, const void *, size_t);
void conn_json(struct conn *, unsigned, json_t *);
void fake_endpoint_accept(struct fake_endpoint *);
void fake_endpoint_listen(struct fake_endpoint *);

/* fake-store.c: the store with keyed topics. */
void store_init(void);
void store_drop_conn(const struct conn *);
void waiters_check(void);
void topic_add(enum topic, const char *, const void *, size_t);
void store_request(struct conn *);

/* fake-endpoints.c: engines that form groups, and plain endpoints. */
void fake_endpoint_write_entry(struct fake_endpoint *);
void fake_endpoint_request(struct conn *);
char *fake_endpoint_headers(const struct conn *);
int fake_stream_events(void);
void conn_break(struct conn *);

/* fake-endless.c: bytes without end that are no response. */
bool endless_respond(struct conn *);
bool endless_respond_call(struct conn *);

/* fake-invalid.c: what is no response in HTTP/1.1. */
bool invalid_respond(struct conn *);
bool stop_respond(struct conn *);

/* fake-pace.c: a slow link of the store. */
bool pace_reply(struct conn *, const GString *);

/* fake-group.c: groups of engines, and checks of joins. */
void group_handle_order(struct conn *);
void group_tick(struct fake_endpoint *);

/* fake-backoff.c: backoff and leaving of endpoints, and checks of daemons. */
uint32_t conn_source_ip(const struct conn *);
void backoff_check(const struct conn *);
bool backoff_refuse(struct conn *);
const char *backoff_leaving_header(const struct conn *);
void backoff_forget_daemon(const char *);
void backoff_forget_endpoint(const struct fake_endpoint *);

/* fake-limit.c: rate limits of endpoints, and checks of daemons. */
void limit_check(const struct conn *);
char *limit_header(const struct conn *);
void limit_forget_daemon(const char *);
void limit_forget_endpoint(const struct fake_endpoint *);

/* fake-zone.c: failure domains of endpoints, and their evacuation. */
char *zone_name(const struct fake_endpoint *);
void zone_evacuate(struct conn *, const char *);
void zone_check(const struct conn *);

/* fake-cold.c: endpoints that tolerate few requests for some time. */
int cold_left_ms(const struct fake_endpoint *);
bool cold_check(const struct conn *);

/* fake-silence.c: endpoints that stop for some time. */
void silence_apply(const char *, int);
void silence_poll(void);
void silence_check_accepted(struct conn *);
bool silence_defer(uv_timer_t *, uv_timer_cb);

/* fake-unaccepted.c: endpoints to which no connection can be made. */
void unaccepted_tick(struct fake_endpoint *);

/* fake-cut.c: daemons that are cut off from all endpoints. */
void cut_listen(const uv_tcp_t *);
void cut_check_accepted(struct conn *);
bool cut_silent(const struct conn *);
void cut_apply(void);

/* fake-crash.c: crashes of endpoints that run a marked request. */
void fake_endpoint_crash(struct fake_endpoint *, enum crash_mode);
void crash_check(const struct conn *);
void crash_mark_find(const struct conn *, struct crash_mark *);
void crash_mark_clear(struct crash_mark *);
bool crash_schedule(struct conn *);
void crash_tick(struct fake_endpoint *);
void crash_begin_grace(const char *);

#endif
