/* bankliftd: the daemon. The same program runs on every entry host. */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>

#include "call.h"
#include "clock.h"
#include "controller.h"
#include "error.h"
#include "event-log.h"
#include "http-listen.h"
#include "gossip.h"
#include "peer-server.h"
#include "prober.h"
#include "server.h"

#define EXIT_BAD_SETTING 2
#define BYTES_PER_MB ((size_t)1 << 20)
/* Time between checks for requests in progress while draining. */
#define DRAIN_POLL_MS 50
/* How long a read of the configuration log may wait for new records. */
#define LOG_READ_WAIT_MS 1000

/* The daemon's threads, except those of its HTTP servers. */
struct thread_entry {
	const char *name;
	void *(*run)(void *);
};

static void *config_run(void *);

static const struct thread_entry thread_table[] = {
	{ "config", config_run },
	{ "hosts", host_list_run },
	{ "prober", prober_run },
	{ "gossip", gossip_run },
	{ "control", controller_run },
	{ "peers", peer_server_run },
};

/* Follows the configuration log. */
static void *
config_run(void *arg)
{
	struct server *server = arg;

	while (!atomic_load(&server->stopping))
		config_follow(&server->config, LOG_READ_WAIT_MS);
	return (NULL);
}

/* Waits for SIGTERM or SIGINT, which ask for a graceful stop. */
static int
signal_wait(void)
{
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	while (sigwait(&set, &sig) != 0)
		;
	return (sig);
}

/* Blocks the signals; SIGTERM and SIGINT are received by signal_wait(). */
static void
signals_block(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/*
 * Drains the daemon. First only the health page reports that it is leaving,
 * while requests are still accepted, so that the load balancer stops sending
 * clients before any request is refused. Then new requests are refused and
 * those in progress are waited for, however long they take.
 */
static void
server_drain(struct server *server)
{
	event_log(LOG_NOTICE, "leaving", "active=%u",
	    atomic_load(&server->active));
	atomic_store(&server->draining, true);
	g_mutex_lock(&server->members.lock);
	server->members.self.draining = true;
	g_mutex_unlock(&server->members.lock);
	server_sleep(server, (uint64_t)server->set.drain_accept_ms);
	atomic_store(&server->refusing, true);
	while (atomic_load(&server->active) > 0)
		server_sleep(server, DRAIN_POLL_MS);
	event_log(LOG_NOTICE, "drained", "active=0");
}

/* Runs the threads until a signal asks to stop, then drains and ends them. */
static bool
server_run(struct server *server, GError **error)
{
	GThread *threads[G_N_ELEMENTS(thread_table)];
	struct http_listen listen;

	if (!peer_server_open(server, error) ||
	    !http_listen_start(&listen, server, error))
		return (false);
	for (size_t i = 0; i < G_N_ELEMENTS(thread_table); i++)
		threads[i] = g_thread_new(thread_table[i].name,
		    thread_table[i].run, server);
	event_log(LOG_NOTICE, "started", "name=%s domain=%s boot=%s",
	    server->set.name, server->set.domain, server->incarnation);
	signal_wait();
	server_drain(server);
	http_listen_linger(&listen);
	http_listen_stop(&listen);
	atomic_store(&server->stopping, true);
	for (size_t i = 0; i < G_N_ELEMENTS(thread_table); i++)
		g_thread_join(threads[i]);
	return (true);
}

int
main(int argc, const char **argv)
{
	g_autoptr(GError) error = NULL;
	struct settings set;
	struct server *server;
	bool ok;

	if (!setting_parse(&set, argc, argv, &error)) {
		fprintf(stderr, "bankliftd: %s\n", error->message);
		setting_free(&set);
		return (EXIT_BAD_SETTING);
	}
	if (set.check) {
		setting_free(&set);
		return (EXIT_SUCCESS);
	}
	event_log_open("bankliftd", event_log_level(set.log_level));
	signals_block();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	call_set_held_max((size_t)set.response_memory_mb * BYTES_PER_MB);
	server = server_create(&set);
	ok = server_run(server, &error);
	if (!ok)
		event_log(LOG_ERR, "start_failed", "error=%s", error->message);
	server_free(server);
	setting_free(&set);
	curl_global_cleanup();
	return (ok ? EXIT_SUCCESS : EXIT_BAD_SETTING);
}
