/* Scripts over the fair queue, in virtual time. */
#include <string.h>

#include "fair-queue.h"
#include "script.h"

#define TICKETS_MAX 512
#define FLOWS_MAX 8

struct named {
	struct fair_ticket ticket;
	char customer[16];
	bool waiting;
};

static struct fair_queue queue;
static struct named tickets[TICKETS_MAX];
static int n_tickets;
static struct {
	char name[16];
	struct fair_flow flow;
} flows[FLOWS_MAX];
static int n_flows;

static void
reset(void)
{
	fair_queue_init(&queue, 1);
	n_tickets = n_flows = 0;
}

static struct fair_flow *
flow_of(const char *name)
{
	for (int i = 0; i < n_flows; i++) {
		if (strcmp(flows[i].name, name) == 0)
			return (&flows[i].flow);
	}
	g_strlcpy(flows[n_flows].name, name, sizeof flows[0].name);
	flows[n_flows].flow = (struct fair_flow){ 0 };
	return (&flows[n_flows++].flow);
}

/* slots N: so many requests at once */
static void
exec_slots(const char *rest, GString *out)
{
	reset();
	fair_queue_init(&queue, (unsigned)g_ascii_strtoull(rest, NULL, 10));
}

/* enter CUSTOMER n=N weight=W batch=0|1 now=MS deadline=MS */
static void
exec_enter(const char *rest, GString *out)
{
	static const char *const names[] = { "granted", "queued", "refused" };
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);
	unsigned counts[3] = { 0 };
	guint64 retry = 0;

	for (guint64 i = 0; i < script_number(rest, "n", 1); i++) {
		struct named *t = &tickets[n_tickets++ % TICKETS_MAX];
		enum fair_verdict v;
		uint64_t retry_ms = 0;

		g_strlcpy(t->customer, w[0], sizeof t->customer);
		t->ticket.weight = (unsigned)script_number(rest, "weight", 1);
		t->ticket.batch = script_number(rest, "batch", 0) != 0;
		t->ticket.deadline_ms =
		    script_number(rest, "deadline", 1000000);
		v = fair_queue_enter(&queue, &t->ticket, flow_of(w[0]),
		    script_number(rest, "now", 0), &retry_ms);
		t->waiting = v == FAIR_QUEUED;
		counts[v]++;
		if (v == FAIR_REFUSED)
			retry = retry_ms;
	}
	for (int v = 0; v < 3; v++) {
		if (counts[v] > 0)
			g_string_append_printf(out, "%u %s%s", counts[v],
			    names[v], v == FAIR_REFUSED ? "" : "\n");
	}
	if (counts[FAIR_REFUSED] > 0)
		g_string_append_printf(out, ", come back in %u ms\n",
		    (unsigned)retry);
}

/* serve N held=MS: N times a slot is given back; who gets it, in order */
static void
exec_serve(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);

	for (guint64 i = 0; i < n; i++) {
		fair_queue_release(&queue, script_number(rest, "held", 1000));
		if (!fair_queue_grant_next(&queue))
			g_string_append(out, "-");
		for (int k = 0; k < MIN(n_tickets, TICKETS_MAX); k++) {
			struct named *t = &tickets[k];

			if (!t->waiting || !t->ticket.granted)
				continue;
			t->waiting = false;
			g_string_append(out, t->customer);
		}
	}
	g_string_append_c(out, '\n');
}

static const struct script_command commands[] = {
	{ "slots", exec_slots },
	{ "enter", exec_enter },
	{ "serve", exec_serve },
	{ NULL, NULL },
};

int
main(void)
{
	return (script_main("queue", commands, reset));
}
