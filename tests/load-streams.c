/*
 * Load generator: opens STREAMS streams at the same time, ROUNDS times each.
 *
 *	load-streams URL HEADER STREAMS ROUNDS BODY
 *
 * Prints the time to the first byte and between reads, in microseconds.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call.h"
#include "clock.h"
#include "histogram.h"

#define DEADLINE_MS 30000

static struct histogram first_byte, gap;
static _Atomic unsigned n_complete, n_failed;
static char **args;

static void
run_stream(void)
{
	g_auto(GStrv) header = g_strsplit(args[2], ": ", 2);
	const struct call_header headers[] = { { header[0], header[1] },
		{ NULL, NULL } };
	uint64_t until = clock_now_ms() + DEADLINE_MS, last = 0, now;
	struct call *call;
	guint received = 0;

	call = call_start("POST", args[1], headers, args[5], strlen(args[5]),
	    false);
	while (!call_ended(call) && call_poll(&call, 1, until)) {
		if (call_body(call)->len == received)
			continue;
		now = clock_now_us();
		if (received > 0 && !call_ended(call))
			histogram_add(&gap, now - last);
		received = call_body(call)->len;
		last = now;
	}
	if (call_phase(call) == CALL_COMPLETE && call_status(call) == 200) {
		histogram_add(&first_byte, call_first_byte_us(call));
		atomic_fetch_add(&n_complete, 1);
	} else {
		atomic_fetch_add(&n_failed, 1);
	}
	call_free(call);
}

static gpointer
worker(gpointer arg)
{
	int rounds = atoi(args[4]);

	/* Spread the starts over 500 ms, as independent clients would. */
	g_usleep((gulong)g_random_int_range(0, 500000));
	for (int i = 0; i < rounds; i++)
		run_stream();
	return (NULL);
}

static void
print(const char *what, struct histogram *h)
{
	printf("%s median %llu p95 %llu p99 %llu mean %llu\n", what,
	    (unsigned long long)histogram_percentile(h, 0.5),
	    (unsigned long long)histogram_percentile(h, 0.95),
	    (unsigned long long)histogram_percentile(h, 0.99),
	    (unsigned long long)(h->sum / MAX(h->total, 1)));
}

int
main(int argc, char **argv)
{
	GThread *threads[1000];
	int n;

	if (argc != 6) {
		fprintf(stderr,
		    "usage: load-streams URL HEADER STREAMS "
		    "ROUNDS BODY\n");
		return (2);
	}
	args = argv;
	n = MIN(atoi(argv[3]), (int)G_N_ELEMENTS(threads));
	curl_global_init(CURL_GLOBAL_DEFAULT);
	for (int i = 0; i < n; i++)
		threads[i] = g_thread_new("stream", worker, NULL);
	for (int i = 0; i < n; i++)
		g_thread_join(threads[i]);
	printf("%u complete, %u failed\n", n_complete, n_failed);
	print("first", &first_byte);
	print("gap", &gap);
	return (n_failed > 0);
}
