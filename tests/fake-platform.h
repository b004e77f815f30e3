/* What the parts of the stand-in for the users' platform share. */
#ifndef TESTS_FAKE_PLATFORM_H
#define TESTS_FAKE_PLATFORM_H

#include <jansson.h>
#include <sys/queue.h>

#include "net-head.h"
#include "net-stream.h"

/* Where the store and each endpoint listen. */
#define FAKE_PORT 9000
/* Events of a stream. */
#define EVENTS 8

enum topic {
	TOPIC_OP,
	TOPIC_SERVERS,
	TOPIC_PLACEMENT,
	TOPIC_DAEMONS,
	TOPICS,
};

/* How an endpoint has ended, until it is back. */
enum point_end {
	END_NONE,
	END_RESET,
	END_SILENT,
};

TAILQ_HEAD(conn_list, conn);

/* An engine or plain endpoint. */
struct point {
	char ip[32];
	char id[32];
	char name[16];
	unsigned starts;
	enum point_end end;
	uint64_t ended_ms;
	uv_tcp_t *listener;
	struct conn_list conns;
	bool engine;
	char *group;
	int64_t epoch;
	int64_t seen_epoch;
	int rank;
	unsigned size;
	uint64_t stalled_ms;
	char *model;
	char *staged;
	const char *state;
	uint64_t ready_ms;
	unsigned ran;
};

/* A connection to any of the addresses. */
struct conn {
	struct net_stream stream;
	http_parser parser;
	struct net_head head;
	GByteArray *body;
	struct point *point;
	uv_timer_t timer;
	int handles;
	char *id;
	bool streams;
	int event;
	int last;
	int mute;
	TAILQ_ENTRY(conn) entry;
};

extern uv_loop_t *fake_loop;
extern GPtrArray *fake_points;
extern GHashTable *fake_switches;
extern GString *fake_journal;

/* standin-platform.c: switches and answers. */
int get_switch(const char *);
int point_switch(const char *, const struct point *);
bool take_switch(const char *);
void conn_reply(struct conn *, unsigned, const char *, const void *, size_t);
void conn_json(struct conn *, unsigned, json_t *);
void point_listen(struct point *);

/* fake-store.c: the store with keyed topics. */
void store_init(void);
void store_forget(const struct conn *);
void waiters_look(void);
void topic_add(enum topic, const char *, const void *, size_t);
void store_request(struct conn *);

/* fake-endpoints.c: engines that form groups, and plain endpoints. */
void point_beat(struct point *);
void point_request(struct conn *);
char *point_says(const struct conn *);

/* fake-group.c: engines' groups, and the rules that joins must keep. */
void group_order(struct conn *);
void group_beat(struct point *);

/* fake-backoff.c: endpoints that rest or leave, and what they get all the same.
 */
uint32_t conn_caller(const struct conn *);
void rest_judge(const struct conn *);
bool rest_refuse(struct conn *);
const char *rest_leaving(const struct conn *);
void rest_excuse(const char *);
void rest_forget(const struct point *);

/* fake-limit.c: endpoints that name limits, and what they get all the same. */
void limit_judge(const struct conn *);
char *limit_header(const struct conn *);
void limit_excuse(const char *);
void limit_forget(const struct point *);

/* fake-crash.c: endpoints that end when they run a marked request. */
void crash_judge(const struct conn *);
bool crash_begin(struct conn *);
void crash_beat(struct point *);
void crash_excuse(const char *);

#endif
