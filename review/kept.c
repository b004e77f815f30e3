/*
 * A requester that uses one channel for one stream after the other.
 *
 *	kept ADDRESS PORT PATH NAME COUNT [HEADER...]
 *
 * Sends COUNT requests to PATH on one connection, each as soon as the answer
 * to the one before is complete, and stops when the other side closes the
 * connection or says that it will. Prints one line for each request:
 *
 *	ID sent=MS first=MS end=MS status=CODE events=N outcome=WORD
 *
 * with the time of day in ms. The outcome is "complete"; "cut" if the
 * connection ended before the answer did; "unread" if it ended before a byte
 * of an answer; "late" if the time budget passed.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <http_parser.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* Time budget of each request, as its Deadline-Ms says. */
#define BUDGET_MS 8000
#define REQUEST_BYTES 4096

/* One answer, as far as it has arrived. */
struct answer {
	long long first_ms;
	unsigned status;
	unsigned events;
	char last;
	bool complete;
	bool keep_alive;
};

static long long
now_ms(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return ((long long)tv.tv_sec * 1000 + tv.tv_usec / 1000);
}

static int
on_head(http_parser *parser)
{
	((struct answer *)parser->data)->status = parser->status_code;
	return (0);
}

/* Counts events by the empty lines that end them. */
static int
on_body(http_parser *parser, const char *at, size_t length)
{
	struct answer *a = parser->data;

	for (size_t i = 0; i < length; i++) {
		a->events += at[i] == '\n' && a->last == '\n';
		a->last = at[i];
	}
	return (0);
}

static int
on_complete(http_parser *parser)
{
	struct answer *a = parser->data;

	a->complete = true;
	a->keep_alive = http_should_keep_alive(parser);
	return (0);
}

static const http_parser_settings settings = {
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static int
connect_to(const char *ip, int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons((unsigned short)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 || inet_pton(AF_INET, ip, &addr.sin_addr) != 1 ||
	    connect(fd, (struct sockaddr *)&addr, sizeof addr) != 0) {
		perror("connect");
		exit(2);
	}
	return (fd);
}

static bool
send_request(int fd, const char *path, const char *id, char **headers)
{
	char text[REQUEST_BYTES];
	int n = snprintf(text, sizeof text,
	    "POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n"
	    "Deadline-Ms: %d\r\nContent-Length: 4\r\n",
	    path, id, BUDGET_MS);

	for (; *headers != NULL; headers++)
		n += snprintf(text + n, sizeof text - (size_t)n, "%s\r\n",
		    *headers);
	n += snprintf(text + n, sizeof text - (size_t)n, "\r\nbody");
	return (send(fd, text, (size_t)n, MSG_NOSIGNAL) == n);
}

/* Reads an answer; returns how that ended. */
static const char *
read_answer(int fd, struct answer *a, long long until_ms)
{
	struct pollfd wait = { .fd = fd, .events = POLLIN };
	http_parser parser;
	char bytes[16384];

	memset(a, 0, sizeof *a);
	http_parser_init(&parser, HTTP_RESPONSE);
	parser.data = a;
	while (!a->complete) {
		long long left = until_ms - now_ms();
		ssize_t n;

		if (left <= 0 || poll(&wait, 1, (int)left) == 0)
			return ("late");
		n = recv(fd, bytes, sizeof bytes, 0);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return (a->first_ms != 0 ? "cut" : "unread");
		if (a->first_ms == 0)
			a->first_ms = now_ms();
		if (http_parser_execute(&parser, &settings, bytes,
			(size_t)n) != (size_t)n)
			return ("cut");
	}
	return ("complete");
}

int
main(int argc, char **argv)
{
	int fd, count;

	if (argc < 6) {
		fprintf(stderr, "usage: kept ADDRESS PORT PATH NAME COUNT\n");
		return (2);
	}
	signal(SIGPIPE, SIG_IGN);
	fd = connect_to(argv[1], atoi(argv[2]));
	count = atoi(argv[5]);
	for (int i = 1; i <= count; i++) {
		char id[64];
		long long sent = now_ms();
		struct answer a;
		const char *outcome = "unread";

		snprintf(id, sizeof id, "%s-%d", argv[4], i);
		memset(&a, 0, sizeof a);
		if (send_request(fd, argv[3], id, argv + 6))
			outcome = read_answer(fd, &a, sent + BUDGET_MS);
		printf("%s sent=%lld first=%lld end=%lld status=%u events=%u "
		       "outcome=%s\n",
		    id, sent, a.first_ms, now_ms(), a.status, a.events,
		    outcome);
		fflush(stdout);
		if (!a.complete || !a.keep_alive)
			break;
	}
	close(fd);
	return (0);
}
