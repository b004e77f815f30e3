/*
 * Clients that send a request and never read the response:
 *
 *	load-unread IP PORT PATH COUNT
 *
 * Connects COUNT times with small receive buffers, sends a request on each
 * connection and waits until it is ended, or for a minute.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECEIVE_BYTES 4096
#define MAX_SECONDS 60

/* Connects and sends one request; exits if that fails. */
static void
send_request(const struct sockaddr_in *to, const char *path, int number)
{
	g_autofree char *text =
	    g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\nX-Api-Key: k1\r\n"
			    "Attempt-Id: u%d\r\n\r\n",
		path, number);
	int size = RECEIVE_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
	if (connect(fd, (const struct sockaddr *)to, sizeof *to) != 0 ||
	    write(fd, text, strlen(text)) != (ssize_t)strlen(text)) {
		perror("load-unread");
		exit(1);
	}
}

int
main(int argc, char **argv)
{
	struct sockaddr_in to = { .sin_family = AF_INET };

	if (argc != 5) {
		fprintf(stderr, "usage: %s IP PORT PATH COUNT\n", argv[0]);
		return (2);
	}
	inet_pton(AF_INET, argv[1], &to.sin_addr);
	to.sin_port = htons((uint16_t)atoi(argv[2]));
	for (int i = 0; i < atoi(argv[4]); i++)
		send_request(&to, argv[3], i);
	sleep(MAX_SECONDS);
	return (0);
}
