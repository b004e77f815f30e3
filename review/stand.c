/*
 * Stand-in for the platform, written from its published protocol: the store
 * with keyed topics, and servers of plain services, in one process.
 *
 *	stand STORE_IP STORE_PORT MANIFEST LOG [ID SERVICE IP PORT ZONE
 *SLOTS]...
 *
 * The store serves /log-append, /log-read and /log-newest of keyed topics. The
 * manifest is written as op/config at the start; each server writes its entry
 * servers/ID about every 1.2 s.
 *
 * A server runs SLOTS requests at a time. Beyond that it answers 503 with
 * Not-Executed; it has no queue. It works on a request for as many ms as the
 * query's "work" says (default 20) and answers with as many bytes as "size"
 * says (default 2). Each answer has the id of the request and a signature.
 * A request for another server (Expected-Instance) gets 421.
 *
 * On each SIGUSR1 the next server leaves: its entry is removed and written no
 *more; it goes on serving, and ends LEAVING_MS later, which breaks off what it
 *runs.
 *
 * LOG has lines on each request at a server: ms since the epoch, "ran" or
 * "refused" as it came, "ended" once its whole answer was written, or "left" if
 * it could not be, the server's id, the request's id; and lines "leaves" and
 * "ends" of a server that leaves.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define HEAD_MAX 65536
#define BEAT_MS 1200
/* How long a server goes on after its entry was removed: drain_ms, and a little
 * longer. */
#define LEAVING_MS 2400
#define VISITS_MAX 1024
#define SERVERS_MAX 64
#define TOPICS_MAX 32

struct record {
	char *key;
	unsigned char *value;
	size_t length;
};

struct topic {
	char name[64];
	struct record *records;
	size_t n, room;
};

struct server {
	const char *id, *service, *ip, *zone;
	int port, slots, running, listener, leaving, ended;
	int visits[VISITS_MAX];
	int64_t born;
};

struct buffer {
	unsigned char *at;
	size_t n, room;
};

/* A request as it was read. */
struct request {
	char head[HEAD_MAX];
	char method[16], target[4096];
	unsigned char *body;
	size_t length;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct topic topics[TOPICS_MAX];
static struct server *servers[SERVERS_MAX];
static int n_servers;
static FILE *log_file;

static int64_t
now_ms(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return ((int64_t)tv.tv_sec * 1000 + tv.tv_usec / 1000);
}

static void
sleep_ms(long ms)
{
	usleep((useconds_t)ms * 1000);
}

static void
buffer_add(struct buffer *b, const void *at, size_t n)
{
	if (b->n + n > b->room) {
		b->room = (b->n + n) * 2;
		b->at = realloc(b->at, b->room);
	}
	memcpy(b->at + b->n, at, n);
	b->n += n;
}

static void
buffer_number(struct buffer *b, uint64_t value, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		unsigned char byte = (unsigned char)(value >> (8 * i));

		buffer_add(b, &byte, 1);
	}
}

static void __attribute__((format(printf, 2, 3)))
buffer_print(struct buffer *b, const char *fmt, ...)
{
	char text[4096];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof text, fmt, ap);
	va_end(ap);
	buffer_add(b, text, strlen(text));
}

/* Finds or creates a topic; the lock is held. */
static struct topic *
topic_find(const char *name)
{
	int i = 0;

	while (i < TOPICS_MAX - 1 && topics[i].name[0] != '\0' &&
	    strcmp(topics[i].name, name) != 0)
		i++;
	snprintf(topics[i].name, sizeof topics[i].name, "%s", name);
	return (&topics[i]);
}

/* Appends a record; the lock is held. */
static void
topic_append(struct topic *t, const char *key, size_t key_length,
    const void *value, size_t length)
{
	struct record *r;

	if (t->n == t->room) {
		t->room = t->room * 2 + 64;
		t->records = realloc(t->records, t->room * sizeof *r);
	}
	r = &t->records[t->n++];
	r->key = strndup(key, key_length);
	r->value = malloc(length + 1);
	memcpy(r->value, value, length);
	r->length = length;
}

/* Reads one request; returns whether there was one. */
static int
request_read(int fd, struct request *q)
{
	size_t n = 0, have;
	char *end, *field;

	q->head[0] = '\0';
	do {
		ssize_t got;

		if (n + 1 >= sizeof q->head)
			return (0);
		got = recv(fd, q->head + n, 1, 0);
		if (got <= 0)
			return (0);
		n += (size_t)got;
		q->head[n] = '\0';
	} while (n < 4 || strcmp(q->head + n - 4, "\r\n\r\n") != 0);
	if (sscanf(q->head, "%15s %4095s", q->method, q->target) != 2)
		return (0);
	field = strcasestr(q->head, "\r\nContent-Length:");
	q->length = field != NULL ? strtoul(field + 17, &end, 10) : 0;
	q->body = malloc(q->length + 1);
	for (have = 0; have < q->length;) {
		ssize_t got = recv(fd, q->body + have, q->length - have, 0);

		if (got <= 0) {
			free(q->body);
			return (0);
		}
		have += (size_t)got;
	}
	q->body[q->length] = '\0';
	return (1);
}

/* Copies the value of a header; empty if there is none. */
static void
request_header(const struct request *q, const char *name, char *out,
    size_t size)
{
	char wanted[64], *at;
	size_t n;

	snprintf(wanted, sizeof wanted, "\r\n%s:", name);
	out[0] = '\0';
	at = strcasestr(q->head, wanted);
	if (at == NULL)
		return;
	at += strlen(wanted);
	at += strspn(at, " ");
	n = strcspn(at, "\r");
	snprintf(out, size, "%.*s", (int)n, at);
}

/* Copies a parameter of the query; returns whether it is there. */
static int
query_get(const char *target, const char *name, char *out, size_t size)
{
	char wanted[64];
	const char *at = strchr(target, '?');

	snprintf(wanted, sizeof wanted, "%s=", name);
	out[0] = '\0';
	for (; at != NULL; at = strpbrk(at + 1, "&")) {
		if (strncmp(at + 1, wanted, strlen(wanted)) != 0)
			continue;
		at += 1 + strlen(wanted);
		snprintf(out, size, "%.*s", (int)strcspn(at, "&"), at);
		return (1);
	}
	return (0);
}

static long
query_number(const char *target, const char *name, long otherwise)
{
	char text[64];

	return (query_get(target, name, text, sizeof text) ? atol(text) :
							     otherwise);
}

static int
send_all(int fd, const void *at, size_t n)
{
	const char *p = at;

	while (n > 0) {
		ssize_t sent = send(fd, p, n, MSG_NOSIGNAL);

		if (sent <= 0)
			return (0);
		p += sent;
		n -= (size_t)sent;
	}
	return (1);
}

static int
reply(int fd, int status, const char *headers, const void *body, size_t n)
{
	struct buffer out = { 0 };
	int ok;

	buffer_print(&out, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
	    status, headers, n);
	buffer_add(&out, body, n);
	ok = send_all(fd, out.at, out.n);
	free(out.at);
	return (ok);
}

static void
base64_add(struct buffer *b, const unsigned char *in, size_t n)
{
	static const char set[] =
	    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < n; i += 3) {
		unsigned v = (unsigned)in[i] << 16 |
		    (i + 1 < n ? (unsigned)in[i + 1] << 8 : 0) |
		    (i + 2 < n ? in[i + 2] : 0);
		char out[4] = { set[v >> 18], set[v >> 12 & 63],
			i + 1 < n ? set[v >> 6 & 63] : '=',
			i + 2 < n ? set[v & 63] : '=' };

		buffer_add(b, out, 4);
	}
}

/* The newest record of each key, as JSON. */
static void
store_newest(struct topic *t, struct buffer *out)
{
	const char *comma = "";

	buffer_print(out, "{\"items\":[");
	for (size_t i = 0; i < t->n; i++) {
		size_t later = i + 1;

		while (later < t->n &&
		    strcmp(t->records[later].key, t->records[i].key) != 0)
			later++;
		if (later < t->n || t->records[i].length == 0)
			continue;
		buffer_print(out,
		    "%s{\"key\":\"%s\",\"offset\":%zu,\"value\":\"", comma,
		    t->records[i].key, i);
		base64_add(out, t->records[i].value, t->records[i].length);
		buffer_print(out, "\"}");
		comma = ",";
	}
	buffer_print(out, "],\"has_more\":false,\"end_offset\":%zu}", t->n);
}

static void
store_read(struct topic *t, size_t from, struct buffer *out)
{
	buffer_number(out, t->n, 8);
	buffer_number(out, 0, 8);
	for (size_t i = from; i < t->n; i++) {
		size_t key = strlen(t->records[i].key);

		buffer_number(out, 1 + key + t->records[i].length, 4);
		buffer_number(out, key, 1);
		buffer_add(out, t->records[i].key, key);
		buffer_add(out, t->records[i].value, t->records[i].length);
	}
}

/* Appends the records of a request's body. Returns the status. */
static int
store_append(struct topic *t, const struct request *q, struct buffer *out)
{
	size_t first = t->n, at = 0;
	char as_of[32];

	if (query_get(q->target, "as_of", as_of, sizeof as_of) &&
	    strtoul(as_of, NULL, 10) != t->n) {
		buffer_print(out, "{\"end_offset\":%zu}", t->n);
		return (412);
	}
	while (at + 5 <= q->length) {
		const unsigned char *p = q->body + at;
		size_t n = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
		    (size_t)p[2] << 8 | p[3];
		size_t key = p[4];

		if (n < 1 + key || at + 4 + n > q->length)
			return (400);
		topic_append(t, (const char *)p + 5, key, p + 5 + key,
		    n - 1 - key);
		at += 4 + n;
	}
	buffer_print(out, "{\"offset\":%zu,\"end_offset\":%zu}", first, t->n);
	return (200);
}

static void *
store_serve(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct request *q = malloc(sizeof *q);

	while (request_read(fd, q)) {
		struct buffer out = { 0 };
		char name[64];
		int status = 200;

		query_get(q->target, "topic", name, sizeof name);
		pthread_mutex_lock(&lock);
		if (strncmp(q->target, "/log-read?", 10) == 0)
			store_read(topic_find(name),
			    (size_t)query_number(q->target, "from", 0), &out);
		else if (strncmp(q->target, "/log-newest?", 12) == 0)
			store_newest(topic_find(name), &out);
		else if (strncmp(q->target, "/log-append?", 12) == 0)
			status = store_append(topic_find(name), q, &out);
		else
			status = 404;
		pthread_mutex_unlock(&lock);
		free(q->body);
		if (!reply(fd, status, "", out.at, out.n)) {
			free(out.at);
			break;
		}
		free(out.at);
	}
	close(fd);
	free(q);
	return (NULL);
}

/* Takes a slot; returns whether there was one. */
static int
server_take(struct server *s, const char *id)
{
	int taken;

	pthread_mutex_lock(&lock);
	taken = s->running < s->slots;
	s->running += taken;
	fprintf(log_file, "%lld %s %s %s\n", (long long)now_ms(),
	    taken ? "ran" : "refused", s->id, id);
	fflush(log_file);
	pthread_mutex_unlock(&lock);
	return (taken);
}

/* Gives a slot back. */
static void
server_give(struct server *s, const char *id, int ok)
{
	pthread_mutex_lock(&lock);
	s->running--;
	fprintf(log_file, "%lld %s %s %s\n", (long long)now_ms(),
	    ok ? "ended" : "left", s->id, id);
	fflush(log_file);
	pthread_mutex_unlock(&lock);
}

/* Answers with a stream of events. Returns whether all were sent. */
static int
server_stream(int fd, const struct request *q, const char *headers)
{
	long events = query_number(q->target, "events", 0);
	long gap = query_number(q->target, "gap", 100);
	char text[1024], chunk[1100];
	int ok;

	snprintf(text, sizeof text,
	    "HTTP/1.1 200 X\r\n%sContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    headers);
	ok = send_all(fd, text, strlen(text));
	for (long i = 0; ok && i < events; i++) {
		sleep_ms(gap);
		snprintf(text, sizeof text, "id: %ld\ndata: word\n\n", i);
		snprintf(chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen(text),
		    text);
		ok = send_all(fd, chunk, strlen(chunk));
	}
	return (ok && send_all(fd, "0\r\n\r\n", 5));
}

/* Runs a request. Returns whether the connection goes on. */
static int
server_run(struct server *s, int fd, const struct request *q, const char *id)
{
	size_t size = (size_t)query_number(q->target, "size", 2);
	char headers[512];
	char *body;
	int ok;

	snprintf(headers, sizeof headers, "Attempt-Id: %s\r\n", id);
	if (!server_take(s, id)) {
		strcat(headers, "Not-Executed: 1\r\n");
		return (reply(fd, 503, headers, "", 0));
	}
	snprintf(headers, sizeof headers,
	    "Attempt-Id: %s\r\nServer-Signature: %s.%s\r\n", id, s->id, id);
	if (query_number(q->target, "events", 0) > 0) {
		ok = server_stream(fd, q, headers);
		server_give(s, id, ok);
		return (ok);
	}
	sleep_ms(query_number(q->target, "work", 20));
	body = malloc(size);
	memset(body, 'x', size);
	ok = reply(fd, 200, headers, body, size);
	server_give(s, id, ok);
	free(body);
	return (ok);
}

/* A connection to a server. */
struct visit {
	struct server *server;
	int fd;
};

/* Adds a connection of a server, or removes it; one that comes after the
 * server's end is shut down. */
static void
visit_note(struct server *s, int fd, int on)
{
	pthread_mutex_lock(&lock);
	for (int i = 0; i < VISITS_MAX; i++) {
		if (s->visits[i] != (on ? -1 : fd))
			continue;
		s->visits[i] = on ? fd : -1;
		break;
	}
	if (s->ended)
		shutdown(fd, SHUT_RDWR);
	pthread_mutex_unlock(&lock);
}

static void *
server_serve(void *arg)
{
	struct visit *v = arg;
	struct request *q = malloc(sizeof *q);
	char id[128], wanted[128];
	int goes_on = 1;

	visit_note(v->server, v->fd, 1);
	while (goes_on && request_read(v->fd, q)) {
		request_header(q, "Attempt-Id", id, sizeof id);
		request_header(q, "Expected-Instance", wanted, sizeof wanted);
		if (wanted[0] != '\0' && strcmp(wanted, v->server->id) != 0)
			goes_on =
			    reply(v->fd, 421, "Not-Executed: 1\r\n", "", 0);
		else
			goes_on = server_run(v->server, v->fd, q, id);
		free(q->body);
	}
	visit_note(v->server, v->fd, 0);
	close(v->fd);
	free(q);
	free(v);
	return (NULL);
}

static int
listen_at(const char *ip, int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	inet_pton(AF_INET, ip, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind(fd, (struct sockaddr *)&addr, sizeof addr) != 0 ||
	    listen(fd, 256) != 0) {
		fprintf(stderr, "stand: can't listen at %s:%d\n", ip, port);
		exit(2);
	}
	return (fd);
}

static int
accept_one(int listener)
{
	int fd = accept(listener, NULL, NULL), on = 1;

	if (fd >= 0)
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	return (fd);
}

static void
thread_start(void *(*run)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, arg) == 0)
		pthread_detach(thread);
}

static void *
server_listen(void *arg)
{
	struct server *s = arg;
	int fd;

	s->listener = listen_at(s->ip, s->port);
	while ((fd = accept_one(s->listener)) >= 0) {
		struct visit *v = malloc(sizeof *v);

		*v = (struct visit){ s, fd };
		thread_start(server_serve, v);
	}
	return (NULL);
}

static void *
server_beat(void *arg)
{
	struct server *s = arg;

	for (unsigned sequence = 1;; sequence++) {
		char entry[512];

		snprintf(entry, sizeof entry,
		    "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
		    "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
		    "\"cold_remaining_ms\":0,\"sequence\":%u,\"born\":%lld}",
		    s->service, s->ip, s->port, s->zone, s->slots, sequence,
		    (long long)s->born);
		pthread_mutex_lock(&lock);
		if (s->leaving) {
			pthread_mutex_unlock(&lock);
			return (NULL);
		}
		topic_append(topic_find("keyed.servers"), s->id, strlen(s->id),
		    entry, strlen(entry));
		pthread_mutex_unlock(&lock);
		sleep_ms(BEAT_MS);
	}
	return (NULL);
}

/* Has a server leave, and ends it. */
static void *
server_leave(void *arg)
{
	struct server *s = arg;

	pthread_mutex_lock(&lock);
	s->leaving = 1;
	topic_append(topic_find("keyed.servers"), s->id, strlen(s->id), "", 0);
	fprintf(log_file, "%lld leaves %s -\n", (long long)now_ms(), s->id);
	fflush(log_file);
	pthread_mutex_unlock(&lock);
	sleep_ms(LEAVING_MS);
	pthread_mutex_lock(&lock);
	s->ended = 1;
	shutdown(s->listener, SHUT_RDWR);
	close(s->listener);
	for (int i = 0; i < VISITS_MAX; i++) {
		if (s->visits[i] >= 0)
			shutdown(s->visits[i], SHUT_RDWR);
	}
	fprintf(log_file, "%lld ends %s -\n", (long long)now_ms(), s->id);
	fflush(log_file);
	pthread_mutex_unlock(&lock);
	return (NULL);
}

/* Waits for the signals to have the next server leave. */
static void *
servers_leave(void *arg)
{
	int number;

	for (int i = 0; i < n_servers; i++) {
		sigwait(arg, &number);
		thread_start(server_leave, servers[i]);
	}
	return (NULL);
}

static void
manifest_write(const char *path)
{
	FILE *file = fopen(path, "r");
	char text[65536];
	size_t n;

	if (file == NULL) {
		fprintf(stderr, "stand: can't read %s\n", path);
		exit(2);
	}
	n = fread(text, 1, sizeof text, file);
	fclose(file);
	topic_append(topic_find("keyed.op"), "config", 6, text, n);
}

int
main(int argc, char **argv)
{
	static sigset_t signals;
	int listener, fd;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&signals);
	sigaddset(&signals, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	if (argc < 5 || (argc - 5) % 6 != 0) {
		fprintf(stderr, "usage: see the head of stand.c\n");
		return (2);
	}
	log_file = fopen(argv[4], "w");
	manifest_write(argv[3]);
	listener = listen_at(argv[1], atoi(argv[2]));
	for (int i = 5; i < argc; i += 6) {
		struct server *s = calloc(1, sizeof *s);

		*s = (struct server){ .id = argv[i],
			.service = argv[i + 1],
			.ip = argv[i + 2],
			.port = atoi(argv[i + 3]),
			.zone = argv[i + 4],
			.slots = atoi(argv[i + 5]),
			.born = now_ms() };
		memset(s->visits, -1, sizeof s->visits);
		if (n_servers < SERVERS_MAX)
			servers[n_servers++] = s;
		thread_start(server_listen, s);
		thread_start(server_beat, s);
	}
	thread_start(servers_leave, &signals);
	while ((fd = accept_one(listener)) >= 0)
		thread_start(store_serve, (void *)(intptr_t)fd);
	return (2);
}
