/*
 * Fuzzes the parsers of external input with a bounded number of mutated
 * samples, from a fixed seed. Nothing may crash, and input that is accepted
 * must be valid.
 */
#include <CUnit/Basic.h>
#include <string.h>

#include "call-end.h"
#include "chunk-order.h"
#include "claim-index.h"
#include "deflate.h"
#include "event-stream.h"
#include "evidence.h"
#include "host.h"
#include "mesh-message.h"
#include "peer_rpc.h"
#include "route.h"
#include "setting.h"
#include "state.h"
#include "platform.h"

#define ROUNDS 20000
#define SEED 7

static const char *const samples[] = {
	"{\"kind\":\"change\",\"op\":\"put\",\"type\":\"customer\","
	"\"name\":\"c\",\"base\":0,\"spec\":{\"key_sha256\":\"aa\","
	"\"rate\":1.5,\"burst\":3,\"class\":\"batch\"}}",
	"{\"kind\":\"change\",\"op\":\"put\",\"type\":\"deployment\","
	"\"name\":\"d\",\"base\":0,\"spec\":{\"model\":\"m\",\"pool\":\"p\","
	"\"hosts_per_replica\":4,\"replicas\":{\"a\":2}}}",
	"{\"kind\":\"lease\",\"domain\":\"a\",\"holder\":\"x\",\"base\":0}",
	"{\"kind\":\"form\",\"domain\":\"a\",\"term\":1,\"name\":\"g\","
	"\"deployment\":\"d\",\"fabric\":\"f\",\"hosts\":[\"h1\",\"h2\"]}",
	"{\"kind\":\"dissolve\",\"domain\":\"a\",\"term\":1,\"name\":\"g\","
	"\"base\":2}",
	"{\"kind\":\"claims\",\"ops\":[[1,\"v/r\",\"t\",7,0,null],"
	"[2,\"v/r\",\"t\",0,200,\"x\"],[3,\"v/r\",\"t\",0,0,null]]}",
	"{\"name\":\"h1\",\"url\":\"http://x\",\"domain\":\"a\",\"fabric\":"
	"\"f\",\"pool\":\"p\",\"kind\":\"engine\",\"state\":\"live\"}",
	"{\"state\":\"ready\",\"epoch\":3,\"model\":\"m\",\"shard\":0,"
	"\"shards\":4,\"load\":2}",
	"{\"next\":3,\"resources\":[{\"type\":\"service\",\"name\":\"s\","
	"\"version\":1,\"spec\":{\"pool\":\"p\"}}],\"groups\":[],"
	"\"leases\":[{\"domain\":\"a\",\"holder\":\"x\",\"term\":1,"
	"\"renewed\":2}]}",
	"data: {\"index\":0,\"text\":\"a\"}\n\ndata: {\"end\":true}\n\n",
	"127.0.0.1:8080",
};

static uint64_t rng;

static uint64_t
draw(uint64_t below)
{
	rng = route_mix(rng);
	return (rng % below);
}

/* Returns a sample with up to three mutations. */
static GString *
mutate(const char *sample)
{
	GString *text = g_string_new(sample);

	for (uint64_t n = draw(4); n > 0 && text->len > 0; n--) {
		gssize at = (gssize)draw(text->len);

		switch (draw(4)) {
		case 0:
			text->str[at] = (char)draw(256);
			break;
		case 1:
			g_string_erase(text, at,
			    (gssize)draw(3) % ((gssize)text->len - at + 1));
			break;
		case 2:
			g_string_insert_len(text, at, text->str,
			    (gssize)draw(text->len));
			break;
		default:
			g_string_insert(text, at, draw(2) ? "-1" : "1e99");
			break;
		}
	}
	return (text);
}

/* Feeds JSON to the parsers of records, hosts and states. */
static void
feed_json(struct state *state, struct claim_index *claims, json_t *json)
{
	struct evidence ev = { 0 };
	struct state *loaded;
	struct host *host;

	state_apply(state, state->next, json, NULL);
	claim_index_apply(claims, claims->next, json);
	evidence_parse(&ev, json, 1);
	host = host_create(json, 1);
	if (host != NULL)
		host_free(host);
	loaded = state_load(json, NULL);
	if (loaded != NULL)
		state_free(loaded);
}

/* Feeds text to the parsers of event streams and addresses. */
static void
feed_text(const GString *text)
{
	g_autoptr(GByteArray) buffer = g_byte_array_new();
	g_autofree char *ip = NULL;
	uint16_t port;
	char *data;

	g_byte_array_append(buffer, (const guint8 *)text->str,
	    (guint)text->len);
	while ((data = event_stream_take(buffer)) != NULL)
		g_free(data);
	setting_split_address(text->str, &ip, &port);
}

static void
test_texts(void)
{
	struct state *state = state_create();
	struct claim_index claims;

	rng = SEED;
	claim_index_init(&claims);
	for (int i = 0; i < ROUNDS; i++) {
		GString *text = mutate(samples[draw(G_N_ELEMENTS(samples))]);
		json_t *json =
		    json_loadb(text->str, text->len, JSON_ALLOW_NUL, NULL);

		feed_json(state, &claims, json);
		feed_text(text);
		json_decref(json);
		g_string_free(text, TRUE);
	}
	CU_ASSERT_EQUAL(state->next, ROUNDS + 1);
	claim_index_destroy(&claims);
	state_free(state);
}

/* Decodes mutated entries: those that are accepted must be well-formed. */
static void
test_entries(void)
{
	static const char sample[] =
	    "{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
	    "\"version\":\"v1\",\"slots\":26,\"state\":\"ready\","
	    "\"cold_remaining_ms\":0,\"sequence\":4,\"born\":17811081520,"
	    "\"models\":[{\"name\":\"m\"}],\"staged\":[\"m\"],"
	    "\"group\":{\"name\":\"g\",\"epoch\":1,\"rank\":0,"
	    "\"state\":\"open\"}}";

	rng = SEED;
	for (int i = 0; i < ROUNDS; i++) {
		GString *text = mutate(sample);
		g_autoptr(GError) error = NULL;
		struct endpoint_report r;

		if (platform_endpoint_decode("e1", text->str, text->len, &r,
			&error)) {
			CU_ASSERT(r.service[0] != '\0' && r.domain[0] != '\0');
			CU_ASSERT(r.sequence >= 0 && r.started_ms >= 0);
			CU_ASSERT(r.group == NULL || r.state != GROUP_NONE);
		} else {
			CU_ASSERT(error != NULL && r.id == NULL);
		}
		endpoint_report_clear(&r);
		g_string_free(text, TRUE);
	}
}

/* Decodes random RPC messages, mostly of zero bytes. */
static void
test_messages(void)
{
	static const struct {
		xdrproc_t proc;
		size_t size;
	} kinds[] = {
		{ (xdrproc_t)xdr_pull_request, sizeof(pull_request) },
		{ (xdrproc_t)xdr_pull_reply, sizeof(pull_reply) },
		{ (xdrproc_t)xdr_hosts_reply, sizeof(hosts_reply) },
		{ (xdrproc_t)xdr_state_reply, sizeof(state_reply) },
		{ (xdrproc_t)xdr_claim_request, sizeof(claim_request) },
		{ (xdrproc_t)xdr_claim_decision, sizeof(claim_decision) },
	};
	char bytes[2048];

	rng = SEED;
	for (int i = 0; i < ROUNDS; i++) {
		size_t k = draw(G_N_ELEMENTS(kinds));
		g_autofree char *out = g_malloc0(kinds[k].size);
		XDR xdrs;

		for (size_t b = 0; b < sizeof bytes; b++)
			bytes[b] = draw(4) == 0 ? (char)draw(8) : 0;
		xdrmem_create(&xdrs, bytes, (u_int)draw(sizeof bytes),
		    XDR_DECODE);
		kinds[k].proc(&xdrs, out);
		xdr_free(kinds[k].proc, out);
	}
	CU_PASS("decoded");
}

/* Encodes a datagram with some entries of each kind. */
static size_t
encode_datagram(char *out, size_t size, bool with_sums)
{
	static struct mesh_message msg;

	mesh_message_init(&msg);
	msg.kind = MESH_FLEET_SUMMARY;
	g_strlcpy(msg.name, "d1", sizeof msg.name);
	g_strlcpy(msg.domain, "z1", sizeof msg.domain);
	msg.n_loads = 3;
	msg.n_avoid = 2;
	msg.n_limits = 2;
	msg.n_poison = 4;
	msg.n_members = 3;
	for (unsigned i = 0; i < msg.n_poison; i++) {
		msg.poison[i] = (struct mesh_poison){
			.fingerprint = UINT64_C(0x1122334455667788) * (i + 1),
			.part = i % 2 != 0,
			.id_hash = i,
			.started = i,
			.age_ms = i * 1000,
			.kind = MESH_POISON_BROKEN + i % MESH_POISON_CLEARED,
		};
	}
	msg.with_sums = with_sums;
	for (unsigned kind = 0; kind < SUM_KINDS; kind++)
		sum_table_find(&msg.sums[kind], kind + 1)->values[0] = 7;
	return (mesh_message_encode(&msg, out, size));
}

/*
 * Decodes mutated datagrams of other daemons: those that are accepted must be
 * within their bounds.
 */
static void
test_datagrams(void)
{
	static struct mesh_message msg;
	char sample[MESH_DATAGRAM_MAX], bytes[MESH_DATAGRAM_MAX];
	size_t length = encode_datagram(sample, sizeof sample, true);
	unsigned accepted = 0;

	rng = SEED;
	CU_ASSERT(length > 0);
	if (length == 0)
		return;
	for (int i = 0; i < ROUNDS; i++) {
		memcpy(bytes, sample, length);
		for (unsigned n = draw(4); n > 0; n--)
			bytes[draw(length)] = (char)draw(256);
		if (!mesh_message_decode(&msg, bytes,
			draw(8) == 0 ? draw(length) : length))
			continue;
		accepted++;
		CU_ASSERT(msg.n_loads <= MESH_LOADS_MAX &&
		    msg.n_limits <= MESH_LIMITS_MAX &&
		    msg.n_poison <= MESH_POISON_MAX &&
		    msg.n_members <= MESH_MEMBERS_MAX);
		for (unsigned kind = 0; kind < SUM_KINDS; kind++)
			CU_ASSERT(msg.sums[kind].n <= SUM_ROWS_MAX);
		for (uint32_t k = 0; k < msg.n_poison; k++)
			CU_ASSERT(msg.poison[k].kind >= MESH_POISON_BROKEN &&
			    msg.poison[k].kind <= MESH_POISON_CLEARED);
	}
	CU_ASSERT(accepted > 0);
}

/*
 * Guards against datagrams that a daemon of the former format ignores: one for
 * such a daemon has no sums and the first word of that format.
 */
static void
test_former_format(void)
{
	static const unsigned char former[] = { 'B', 'L', 'M', 8 };
	static const unsigned char current[] = { 'B', 'L', 'M', 9 };
	static struct mesh_message msg;
	char bytes[MESH_DATAGRAM_MAX];
	size_t with_sums = encode_datagram(bytes, sizeof bytes, true);
	size_t length;

	CU_ASSERT(memcmp(bytes, current, sizeof current) == 0);
	CU_ASSERT(mesh_message_decode(&msg, bytes, with_sums));
	CU_ASSERT(msg.sums[SUM_EVIDENCE].n == 1);
	length = encode_datagram(bytes, sizeof bytes, false);
	CU_ASSERT(length > 0 && length < with_sums);
	CU_ASSERT(memcmp(bytes, former, sizeof former) == 0);
	CU_ASSERT(mesh_message_decode(&msg, bytes, length));
	CU_ASSERT(msg.sums[SUM_EVIDENCE].n == 0);
}

/* What is compressed comes back, up to the bound; what is not is refused or of
 * the length that it names. */
static void
test_deflate(void)
{
	for (unsigned i = 0; i < ROUNDS; i++) {
		const char *sample = samples[draw(G_N_ELEMENTS(samples))];
		size_t length = strlen(sample);
		g_autoptr(GBytes) packed = deflate_pack(sample, length);
		g_autoptr(GBytes) whole =
		    deflate_unpack(g_bytes_get_data(packed, NULL),
			g_bytes_get_size(packed), length);
		g_autoptr(GBytes) small =
		    deflate_unpack(g_bytes_get_data(packed, NULL),
			g_bytes_get_size(packed), length - 1);
		g_autofree guint8 *odd =
		    g_memdup2(g_bytes_get_data(packed, NULL),
			g_bytes_get_size(packed));
		g_autoptr(GBytes) unpacked = NULL;

		CU_ASSERT_TRUE(whole != NULL &&
		    g_bytes_get_size(whole) == length &&
		    memcmp(g_bytes_get_data(whole, NULL), sample, length) == 0);
		CU_ASSERT_PTR_NULL(small);
		odd[draw(g_bytes_get_size(packed))] = (guint8)draw(256);
		unpacked = deflate_unpack(odd,
		    draw(g_bytes_get_size(packed) + 1), 2 * length);
		CU_ASSERT_TRUE(unpacked == NULL ||
		    g_bytes_get_size(unpacked) <= 2 * length);
	}
}

int
main(void)
{
	unsigned failures;
	CU_pSuite suite;

	CU_initialize_registry();
	suite = CU_add_suite("fuzz", NULL, NULL);
	CU_add_test(suite, "deflate", test_deflate);
	CU_add_test(suite, "texts", test_texts);
	CU_add_test(suite, "entries", test_entries);
	CU_add_test(suite, "messages", test_messages);
	CU_add_test(suite, "datagrams", test_datagrams);
	CU_add_test(suite, "former format", test_former_format);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures == 0 ? 0 : 1);
}
