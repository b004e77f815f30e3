/*
 * A requester: sends requests one after the other on one channel, each as soon
 * as the answer to the one before is whole, and prints a line on what it got.
 *
 *	client IP PORT [METHOD TARGET ID BUDGET_MS PAUSE_AFTER PAUSE_MS]...
 *
 * It stops reading for PAUSE_MS once it has PAUSE_AFTER bytes of an answer;
 * PAUSE_MS 0 is no pause. The channel is kept: no Connection header is sent. A
 * request is not sent if the answer before has "Connection: close".
 *
 * A line has the id, "whole", "cut" or "none" (a part of an answer, or nothing
 * of it), the status, the bytes of the body that came, those that were due (-1:
 * until the last chunk), when the request was sent and how long it took, in ms,
 * and how the channel ended: "kept", "closed", "reset" or "timeout".
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_MAX (16u << 20)
/* Receive buffer: a small window, as on the users' links. */
#define WINDOW_BYTES 65536
#define READ_BYTES 65536
/* The requester waits this much longer than its budget before it gives up. */
#define PATIENCE_MS 3000

static char answer[ANSWER_MAX + 1];
static size_t length;

static int64_t
now_ms(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return ((int64_t)tv.tv_sec * 1000 + tv.tv_usec / 1000);
}

/* Bytes of a chunked body so far; sets whether the last chunk has come. */
static long
chunked_bytes(const char *at, const char *end, int *last)
{
	long sum = 0;

	*last = 0;
	while (at < end) {
		const char *line = memmem(at, (size_t)(end - at), "\r\n", 2);
		long n;

		if (line == NULL)
			return (sum);
		n = strtol(at, NULL, 16);
		at = line + 2;
		if (n == 0) {
			*last = end - at >= 2;
			return (sum);
		}
		sum += n < end - at ? n : end - at;
		at += n + 2;
	}
	return (sum);
}

/* Whether the answer is whole; sets its status and its bytes. */
static int
answer_whole(int *status, long *got, long *due)
{
	const char *body = memmem(answer, length, "\r\n\r\n", 4);
	const char *field;
	int last;

	*status = 0;
	*got = 0;
	*due = -1;
	if (body == NULL)
		return (0);
	body += 4;
	sscanf(answer, "HTTP/1.1 %d", status);
	answer[length] = '\0';
	field = strcasestr(answer, "\r\nContent-Length:");
	if (field != NULL && field < body) {
		*due = strtol(field + 17, NULL, 10);
		*got = (long)(answer + length - body);
		return (*got >= *due);
	}
	*got = chunked_bytes(body, answer + length, &last);
	return (last);
}

static int
dial(const char *ip, int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), window = WINDOW_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
	inet_pton(AF_INET, ip, &addr.sin_addr);
	if (connect(fd, (struct sockaddr *)&addr, sizeof addr) != 0)
		return (-1);
	return (fd);
}

/* A request of the command line. */
struct ask {
	const char *method, *target, *id;
	long budget, pause_after, pause_ms;
};

/* Reads an answer as far as it comes; returns how the channel ended. */
static const char *
answer_read(int fd, const struct ask *ask, int *whole, int *status, long *got,
    long *due)
{
	int paused = ask->pause_ms == 0;
	struct timeval wait = { (ask->budget + PATIENCE_MS) / 1000, 0 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
	length = 0;
	*whole = 0;
	while (!*whole) {
		ssize_t n = length + READ_BYTES > ANSWER_MAX ?
		    0 :
		    recv(fd, answer + length, READ_BYTES, 0);

		if (n < 0)
			return (errno == EAGAIN ? "timeout" : "reset");
		if (n == 0)
			return ("closed");
		length += (size_t)n;
		*whole = answer_whole(status, got, due);
		if (!*whole && !paused && *got >= ask->pause_after) {
			paused = 1;
			usleep((useconds_t)ask->pause_ms * 1000);
		}
	}
	return ("kept");
}

/* Sends a request and prints what came. Returns whether the channel goes on. */
static int
ask_one(int fd, const struct ask *ask)
{
	int post = strcmp(ask->method, "POST") == 0, whole, status = 0;
	long got = 0, due = -1;
	int64_t began = now_ms();
	const char *how;
	char text[2048];

	snprintf(text, sizeof text,
	    "%s %s HTTP/1.1\r\nHost: board.example\r\nAttempt-Id: %s\r\n"
	    "X-Api-Key: k1\r\nDeadline-Ms: %ld\r\nContent-Length: %d\r\n\r\n%s",
	    ask->method, ask->target, ask->id, ask->budget, post ? 2 : 0,
	    post ? "ab" : "");
	send(fd, text, strlen(text), MSG_NOSIGNAL);
	how = answer_read(fd, ask, &whole, &status, &got, &due);
	printf("%s %s %d %ld %ld %lld %lld %s\n", ask->id,
	    whole	    ? "whole" :
		status != 0 ? "cut" :
			      "none",
	    status, got, due, (long long)began, (long long)(now_ms() - began),
	    how);
	fflush(stdout);
	return (whole && strcasestr(answer, "\r\nConnection: close") == NULL);
}

int
main(int argc, char **argv)
{
	int fd;

	if (argc < 9 || (argc - 3) % 6 != 0)
		return (2);
	fd = dial(argv[1], atoi(argv[2]));
	if (fd < 0) {
		printf("%s none 0 0 -1 0 0 refused\n", argv[5]);
		return (0);
	}
	for (int i = 3; i < argc; i += 6) {
		const struct ask ask = { argv[i], argv[i + 1], argv[i + 2],
			atol(argv[i + 3]), atol(argv[i + 4]),
			atol(argv[i + 5]) };

		if (!ask_one(fd, &ask))
			break;
	}
	close(fd);
	return (0);
}
