/*
 * Benchmark slopes: the marginal cost, in bytes and time, of one more record,
 * resource, group, claim or entry of a gossip message. docs/CAPACITY.md is
 * derived from these figures.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "claim-index.h"
#include "clock.h"
#include "peer_rpc.h"
#include "state.h"
#include "view.h"

#define CHANGES 20000
#define CUSTOMERS 1000
#define GROUPS 375
#define GROUP_HOSTS 4
#define CLAIMS 200000
#define TOKEN_BYTES 32

/* Returns the bytes allocated on the heap. */
static size_t
heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (info.uordblks + info.hblkhd);
}

/* Prints time, memory kept and bytes sent, each for one more item. */
static void
print_row(const char *what, double us, double memory, double wire)
{
	printf("  %-34s %8.2f us %8.0f B kept %8.0f B sent\n", what, us, memory,
	    wire);
}

/* Makes the i-th change, to one of n customers in turn. */
static json_t *
change_record(int i, int n)
{
	g_autofree char *name = g_strdup_printf("c%d", i % n);
	char hash[65];

	memset(hash, 'a', 64);
	hash[64] = '\0';
	return (json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:{s:s, s:f, s:i}}",
	    "kind", "change", "change", "0123456789abcdef0123456789abcdef",
	    "op", "put", "type", "customer", "name", name, "base",
	    i < n ? 0 : i - n + 1, "spec", "key_sha256", hash, "rate", 10.0,
	    "burst", 20));
}

/* Makes the record that forms a group. */
static json_t *
form_record(int g, const char *domain)
{
	json_t *hosts = json_array();
	g_autofree char *name = g_strdup_printf("judges/%s/%d", domain, g);

	for (int i = 0; i < GROUP_HOSTS; i++) {
		g_autofree char *host =
		    g_strdup_printf("host-%04d", g * GROUP_HOSTS + i);

		json_array_append_new(hosts, json_string(host));
	}
	return (json_pack("{s:s, s:s, s:s, s:I, s:s, s:s, s:s, s:o}", "kind",
	    "form", "change", "0123456789abcdef0123456789abcdef", "domain",
	    domain, "term", (json_int_t)CHANGES + 1, "name", name, "deployment",
	    "judges", "fabric", "fabric-1", "hosts", hosts));
}

/* Replays a record parsed from text, as from the log; returns its length. */
static size_t
replay(struct state *state, json_t *record)
{
	g_autofree char *text = json_dumps(record, JSON_COMPACT);
	json_auto_t *parsed = json_loads(text, 0, NULL);

	state_apply(state, state->next, parsed, NULL);
	json_decref(record);
	return (strlen(text));
}

static void
slope_changes(struct state *state)
{
	size_t before = heap_bytes(), wire = 0, heap_used = 0;
	uint64_t start_us = clock_now_us();

	for (int i = 0; i < CHANGES; i++) {
		wire += replay(state, change_record(i, CUSTOMERS));
		if (i == CUSTOMERS - 1)
			heap_used = heap_bytes() - before;
	}
	print_row("change of a resource",
	    (double)(clock_now_us() - start_us) / CHANGES,
	    (double)heap_used / CUSTOMERS, (double)wire / CHANGES);
}

static void
slope_groups(struct state *state)
{
	size_t before, wire = 0;
	uint64_t start_us;

	replay(state,
	    json_pack("{s:s, s:s, s:s, s:i}", "kind", "lease", "domain",
		"mvd-centro", "holder", "daemon-1#0", "base", 0));
	before = heap_bytes();
	start_us = clock_now_us();
	for (int g = 0; g < GROUPS; g++)
		wire += replay(state, form_record(g, "mvd-centro"));
	print_row("group of 4 hosts",
	    (double)(clock_now_us() - start_us) / GROUPS,
	    (double)(heap_bytes() - before) / GROUPS, (double)wire / GROUPS);
}

static void
slope_dump(struct state *state)
{
	uint64_t start_us = clock_now_us();
	json_t *dump = state_dump(state);
	char *text = json_dumps(dump, JSON_COMPACT);
	size_t items = g_hash_table_size(state->resources) +
	    g_hash_table_size(state->groups);

	print_row("snapshot, each resource or group",
	    (double)(clock_now_us() - start_us) / (double)items, 0,
	    (double)strlen(text) / (double)items);
	free(text);
	json_decref(dump);
}

static void
slope_view(struct state *state)
{
	struct view_tables tables;
	struct inventory inv;
	size_t before = heap_bytes();
	uint64_t start_us;
	struct view *view;

	view_tables_init(&tables);
	inventory_init(&inv);
	view = view_build(&tables, state, &inv, "mvd-centro", 9);
	print_row("customer in the view, with counts", 0,
	    (double)(heap_bytes() - before) / CUSTOMERS, 0);
	view_free(view);
	start_us = clock_now_us();
	view = view_build(&tables, state, &inv, "mvd-centro", 9);
	print_row("view built anew, each resource",
	    (double)(clock_now_us() - start_us) / CUSTOMERS, 0, 0);
	view_free(view);
	inventory_destroy(&inv);
	view_tables_destroy(&tables);
}

static void
slope_claims(void)
{
	struct claim_index index;
	size_t before, wire = 0;
	uint64_t start_us;

	claim_index_init(&index);
	before = heap_bytes();
	start_us = clock_now_us();
	for (int i = 0; i < CLAIMS; i++) {
		g_autofree char *id =
		    g_strdup_printf("venue-%d/req-%08d", i % 10, i);
		char token[TOKEN_BYTES + 1];
		json_auto_t *record = NULL, *parsed = NULL;
		g_autofree char *text = NULL;

		snprintf(token, sizeof token, "%032d", i);
		record = json_pack("{s:s, s:[o]}", "kind", "claims", "ops",
		    claim_op_dump(CLAIM_OP_CLAIM, id, token, (uint64_t)i, 0,
			NULL));
		text = json_dumps(record, JSON_COMPACT);
		wire += strlen(text);
		parsed = json_loads(text, 0, NULL);
		claim_index_apply(&index, index.next, parsed);
	}
	print_row("claim of an id, one a record",
	    (double)(clock_now_us() - start_us) / CLAIMS,
	    (double)(heap_bytes() - before) / CLAIMS, (double)wire / CLAIMS);
	claim_index_destroy(&index);
}

static void
slope_gossip_entries(void)
{
	peer_member member = { .name = "daemon-01-01", .domain = "mvd-centro" };
	peer_target target = { 0 };
	peer_host host = { 0 };
	peer_life life = { 0 };

	print_row("news of a member", 0, 0,
	    (double)xdr_sizeof((xdrproc_t)xdr_peer_member, &member));
	print_row("news of a life", 0, 0,
	    (double)xdr_sizeof((xdrproc_t)xdr_peer_life, &life));
	print_row("news of a target", 0, 0,
	    (double)xdr_sizeof((xdrproc_t)xdr_peer_target, &target));
	print_row("news of a host", 0, 0,
	    (double)xdr_sizeof((xdrproc_t)xdr_peer_host, &host));
}

static int
bench_slopes_exec(int argc, const char **argv)
{
	struct state *state = state_create();

	printf("one more of each costs\n");
	slope_changes(state);
	slope_groups(state);
	slope_dump(state);
	slope_view(state);
	slope_claims();
	slope_gossip_entries();
	state_free(state);
	return (0);
}

const struct bench_entry bench_slopes_entry = {
	.name = "slopes",
	.help = "bytes and time of one more record, claim or gossip entry",
	.exec = bench_slopes_exec,
};
