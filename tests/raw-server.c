/* A server that sends given bytes to each request and closes, on threads. */
#include <arpa/inet.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "raw-server.h"

#define HEAD_MAX 16384
#define BACKLOG 64

/* A connection, and what replies on it. */
struct raw_peer {
	int fd;
	GString *(*reply)(const char *, void *);
	void *arg;
};

/* Opens a listener at an address; a port of 0 is replaced by a free one. */
int
raw_server_open(const char *ip, int *port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)*port) };
	socklen_t length = sizeof addr;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	inet_pton(AF_INET, ip, &addr.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind(fd, (struct sockaddr *)&addr, sizeof addr) != 0 ||
	    listen(fd, BACKLOG) != 0)
		g_error("raw server: can't listen at %s:%d", ip, *port);
	getsockname(fd, (struct sockaddr *)&addr, &length);
	*port = ntohs(addr.sin_port);
	return (fd);
}

/* Reads the head of a request; returns whether it came. */
static bool
peer_read_head(int fd, char *head)
{
	size_t n = 0;
	ssize_t got;

	do {
		got = recv(fd, head + n, HEAD_MAX - 1 - n, 0);
		if (got <= 0)
			return (false);
		n += (size_t)got;
		head[n] = '\0';
	} while (strstr(head, "\r\n\r\n") == NULL);
	return (true);
}

/* Replies to the request of a connection, and closes in order. */
static gpointer
peer_run(gpointer arg)
{
	g_autofree struct raw_peer *peer = arg;
	g_autofree char *head = g_malloc(HEAD_MAX);
	GString *bytes;

	if (peer_read_head(peer->fd, head)) {
		bytes = peer->reply(head, peer->arg);
		send(peer->fd, bytes->str, bytes->len, MSG_NOSIGNAL);
		g_string_free(bytes, TRUE);
		shutdown(peer->fd, SHUT_WR);
		while (recv(peer->fd, head, HEAD_MAX, 0) > 0)
			continue;
	}
	close(peer->fd);
	return (NULL);
}

/* Serves connections, one request each, until the listener is shut down. REPLY
 * is given the head of a request, and returns the bytes to send. */
void
raw_server_run(int listener, GString *(*reply)(const char *, void *), void *arg)
{
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		struct raw_peer *peer = g_new0(struct raw_peer, 1);

		peer->fd = fd;
		peer->reply = reply;
		peer->arg = arg;
		g_thread_unref(g_thread_new("peer", peer_run, peer));
	}
}
