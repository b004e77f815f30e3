/*
 * Many requesters. Each opens a channel, sends a request, reads the answer to
 * its end, and keeps the channel open or closes it.
 *
 *	crowd IP PORT CHANNELS PER_SECOND TARGET KEEP HOLD_MS
 *
 * CHANNELS requesters come one after the other, PER_SECOND of them in a second.
 * With KEEP 1 each keeps its channel until all have come and HOLD_MS are over,
 * with KEEP 0 it closes it after the answer. Prints how many answers were
 * whole, how many were refused (429, 503), and how many channels were cut or
 * not opened.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_MAX (4u << 20)
#define WAIT_S 8

static char answer[ANSWER_MAX + 1];

static int64_t
now_ms(void)
{
	struct timeval tv;

	gettimeofday(&tv, NULL);
	return ((int64_t)tv.tv_sec * 1000 + tv.tv_usec / 1000);
}

static int
dial(const char *ip, int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)port) };
	struct timeval wait = { WAIT_S, 0 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
	inet_pton(AF_INET, ip, &addr.sin_addr);
	if (connect(fd, (struct sockaddr *)&addr, sizeof addr) == 0)
		return (fd);
	close(fd);
	return (-1);
}

/* Reads an answer with a length, or with no body. Returns its status; 0 if it
 * is not whole. */
static int
answer_read(int fd)
{
	size_t length = 0, due = 0;
	int status = 0;

	for (;;) {
		ssize_t n = recv(fd, answer + length, ANSWER_MAX - length, 0);
		char *body, *field;

		if (n <= 0)
			return (0);
		length += (size_t)n;
		answer[length] = '\0';
		body = strstr(answer, "\r\n\r\n");
		if (body == NULL)
			continue;
		sscanf(answer, "HTTP/1.1 %d", &status);
		field = strcasestr(answer, "\r\nContent-Length:");
		if (field != NULL && field < body)
			due = strtoul(field + 17, NULL, 10);
		if (length >= (size_t)(body + 4 - answer) + due)
			return (status);
	}
}

/* Sends a request with a number of its own; returns the status, as above. */
static int
ask(int fd, const char *target, int number)
{
	char text[512];

	snprintf(text, sizeof text,
	    "GET %s HTTP/1.1\r\nHost: board.example\r\nAttempt-Id: c%d\r\n"
	    "X-Api-Key: k1\r\nDeadline-Ms: 4000\r\n\r\n",
	    target, number);
	send(fd, text, strlen(text), MSG_NOSIGNAL);
	return (answer_read(fd));
}

int
main(int argc, char **argv)
{
	int n = argc == 8 ? atoi(argv[3]) : 0, whole = 0, refused = 0, cut = 0;
	int64_t began = now_ms();

	if (n <= 0)
		return (2);
	for (int i = 0; i < n; i++) {
		int64_t wait = began + i * 1000LL / atoi(argv[4]) - now_ms();
		int fd, status;

		if (wait > 0)
			usleep((useconds_t)wait * 1000);
		fd = dial(argv[1], atoi(argv[2]));
		status = fd >= 0 ? ask(fd, argv[5], i) : 0;
		whole += status == 200;
		refused += status == 429 || status == 503;
		cut += status == 0;
		if (fd >= 0 && atoi(argv[6]) == 0)
			close(fd);
	}
	printf("%d whole, %d refused, %d cut, in %lld ms\n", whole, refused,
	    cut, (long long)(now_ms() - began));
	fflush(stdout);
	usleep((useconds_t)atoi(argv[7]) * 1000);
	return (0);
}
