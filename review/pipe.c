/*
 * A path to the store: passes connections on.
 *
 *	pipe IP PORT TO_IP TO_PORT
 *
 * Stopped by SIGSTOP it is a path that is cut: connections go silent, and new
 * ones get no answer. SIGCONT heals it.
 */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

static struct sockaddr_in target;

/* One direction of a connection. */
struct direction {
	int from, to;
};

static void *
copy(void *arg)
{
	struct direction *d = arg;
	char bytes[65536];
	ssize_t n;

	while ((n = recv(d->from, bytes, sizeof bytes, 0)) > 0) {
		for (ssize_t at = 0, sent; at < n; at += sent) {
			sent = send(d->to, bytes + at, (size_t)(n - at),
			    MSG_NOSIGNAL);
			if (sent <= 0)
				break;
		}
	}
	shutdown(d->to, SHUT_RDWR);
	shutdown(d->from, SHUT_RDWR);
	return (NULL);
}

static void *
serve(void *arg)
{
	int client = (int)(intptr_t)arg;
	int store = socket(AF_INET, SOCK_STREAM, 0);
	struct direction up = { client, store }, down = { store, client };
	pthread_t thread;

	if (connect(store, (struct sockaddr *)&target, sizeof target) == 0 &&
	    pthread_create(&thread, NULL, copy, &up) == 0) {
		copy(&down);
		pthread_join(thread, NULL);
	}
	close(store);
	close(client);
	return (NULL);
}

static struct sockaddr_in
address(const char *ip, const char *port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
		.sin_port = htons((uint16_t)atoi(port)) };

	inet_pton(AF_INET, ip, &addr.sin_addr);
	return (addr);
}

int
main(int argc, char **argv)
{
	int listener = socket(AF_INET, SOCK_STREAM, 0), on = 1, fd;
	struct sockaddr_in own;
	pthread_t thread;

	if (argc != 5)
		return (2);
	signal(SIGPIPE, SIG_IGN);
	own = address(argv[1], argv[2]);
	target = address(argv[3], argv[4]);
	setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind(listener, (struct sockaddr *)&own, sizeof own) != 0 ||
	    listen(listener, 64) != 0) {
		fprintf(stderr, "pipe: can't listen at %s\n", argv[1]);
		return (2);
	}
	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		if (pthread_create(&thread, NULL, serve,
			(void *)(intptr_t)fd) == 0)
			pthread_detach(thread);
	}
	return (2);
}
