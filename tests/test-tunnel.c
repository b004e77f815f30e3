/*
 * Tunnels: messages that a stranger may have sent, and the choice of gateways
 * in a fleet of which half is cut off.
 */
#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>

#include "mesh-gateway.h"
#include "net-link.h"
#include "tunnel-server.h"

#define PEERS 300
#define TRIES_MAX 5
#define CHOICES 2000

static void
test_request(void)
{
	struct tunnel_request in = { .kind = TUNNEL_NOTE_BACKOFF,
		.ms = 1500,
		.credential = 0x0102030405060708ull,
		.name_hash = 7 };
	struct tunnel_request out;
	char bytes[TUNNEL_REQUEST_BYTES];

	in.peer.sin_addr.s_addr = htonl(0x0a010203);
	in.peer.sin_port = htons(9000);
	tunnel_request_encode(&in, bytes);
	CU_ASSERT_TRUE(tunnel_request_decode(&out, bytes));
	CU_ASSERT_EQUAL(out.kind, in.kind);
	CU_ASSERT_EQUAL(out.ms, in.ms);
	CU_ASSERT_EQUAL(out.credential, in.credential);
	CU_ASSERT_EQUAL(out.peer.sin_addr.s_addr, in.peer.sin_addr.s_addr);
	CU_ASSERT_EQUAL(out.peer.sin_port, in.peer.sin_port);
	/* An unknown kind, a port that is none and another version. */
	bytes[7] = 99;
	CU_ASSERT_FALSE(tunnel_request_decode(&out, bytes));
	bytes[7] = TUNNEL_CONNECT;
	bytes[16] = 1;
	CU_ASSERT_FALSE(tunnel_request_decode(&out, bytes));
	bytes[16] = 0;
	CU_ASSERT_TRUE(tunnel_request_decode(&out, bytes));
	bytes[3]++;
	CU_ASSERT_FALSE(tunnel_request_decode(&out, bytes));
}

/* Decodes bytes in pieces of a given size. Returns what the peer sent. */
static GString *
decode(struct tunnel_decoder *d, const char *bytes, size_t length, size_t piece)
{
	GString *out = g_string_new(NULL);

	for (size_t at = 0; at < length;) {
		const char *data;
		size_t n;
		size_t used = tunnel_decode(d, bytes + at,
		    MIN(piece, length - at), &data, &n);

		g_string_append_len(out, data, (gssize)n);
		at += used;
	}
	return (out);
}

/* Fragments in pieces of any size give the same bytes, and only the last one is
 * an end: a gateway that is killed sends none. */
static void
test_fragments(void)
{
	static const char bytes[] = "\0\0\0\3abc\0\0\0\0\0\0\0\2de\x80\0\0\0";
	const size_t length = sizeof bytes - 1;

	for (size_t piece = 1; piece <= length; piece++) {
		struct tunnel_decoder d = { 0 };
		g_autoptr(GString) out = decode(&d, bytes, length - 1, piece);

		CU_ASSERT_STRING_EQUAL(out->str, "abcde");
		CU_ASSERT_TRUE(d.declined);
		CU_ASSERT_FALSE(tunnel_decoder_ended(&d));
		g_string_free(decode(&d, bytes + length - 1, 1, 1), TRUE);
		CU_ASSERT_TRUE(tunnel_decoder_ended(&d));
	}
}

static void
test_list(void)
{
	struct tunnel_gateway in[TUNNEL_LIST_MAX], out[TUNNEL_LIST_MAX];
	char bytes[TUNNEL_LIST_BYTES];
	size_t length;

	memset(in, 0, sizeof in);
	for (unsigned i = 0; i < TUNNEL_LIST_MAX; i++) {
		in[i].incarnation = i + 1;
		in[i].addr.sin_port = htons((uint16_t)(9000 + i));
	}
	length = tunnel_list_encode(in, TUNNEL_LIST_MAX, bytes);
	CU_ASSERT_EQUAL(length, sizeof bytes);
	CU_ASSERT_EQUAL(tunnel_list_decode(out, bytes, length),
	    TUNNEL_LIST_MAX);
	CU_ASSERT_EQUAL(out[7].incarnation, 8);
	CU_ASSERT_EQUAL(tunnel_list_decode(out, bytes, length - 1),
	    TUNNEL_LIST_MAX - 1);
}

/* Path states: one lost path is no reason to doubt others, two together are. */
static void
test_paths(void)
{
	struct net_tunnels tunnels = { 0 };
	struct net_path one = { 0 }, two = { 0 }, three = { 0 };
	struct sockaddr_in a = { .sin_port = 1 }, b = { .sin_port = 2 };

	net_path_heard(&three, &tunnels, &b, 900);
	net_path_lost(&one, &tunnels, &a, "timeout", 1000);
	CU_ASSERT_EQUAL(net_path_state(&one, &tunnels), NET_PATH_LOST);
	CU_ASSERT_EQUAL(net_path_state(&three, &tunnels), NET_PATH_DIRECT);
	CU_ASSERT_TRUE(net_path_trusted(&three, &tunnels, 900));
	net_path_lost(&two, &tunnels, &b, "timeout", 1300);
	CU_ASSERT_EQUAL(net_path_state(&three, &tunnels), NET_PATH_DOUBTED);
	CU_ASSERT_FALSE(net_path_trusted(&three, &tunnels, 900));
	net_path_heard(&three, &tunnels, &b, 1400);
	CU_ASSERT_EQUAL(net_path_state(&three, &tunnels), NET_PATH_DIRECT);
	net_path_heard(&one, &tunnels, &a, 2000);
	CU_ASSERT_EQUAL(net_path_state(&one, &tunnels), NET_PATH_DIRECT);
	CU_ASSERT_EQUAL(tunnels.n_restored, 1);
}

/* Adds daemons that were heard, half of them in the own failure domain. */
static void
add_peers(struct mesh *mesh, unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		g_autofree char *name = g_strdup_printf("daemon-%u", i);
		struct sockaddr_in addr = { .sin_family = AF_INET };
		struct mesh_peer *peer;

		addr.sin_addr.s_addr = htonl(0x0a000001 + i);
		peer =
		    mesh_add(mesh, name, i % 2 == 0 ? "a" : "b", 1000, &addr);
		peer->heard_ms = mesh->now_ms;
		peer->incarnation = i + 1;
	}
}

/* Whether a gateway is cut off: every other pair of daemons. */
static bool
is_cut(const struct net_gateway *gateway)
{
	return ((gateway->incarnation - 1) / 2 % 2 == 0);
}

/* With half of the daemons cut off, hardly any connection uses up its tries,
 * and no gateway has more than a few times its share of those considered. */
static void
test_half_cut(void)
{
	uv_loop_t loop;
	struct registry registry = { 0 };
	struct mesh mesh = { .name = "self", .domain = "a", .loop = &loop };
	struct mesh_gateways g = { 0 };
	unsigned served = 0, uses[PEERS + 1] = { 0 }, most = 0;

	uv_loop_init(&loop);
	mesh.registry = &registry;
	mesh_init(&mesh, uv_now(&loop), 1);
	add_peers(&mesh, PEERS);
	mesh_gateways_init(&g, &mesh, 8085);
	for (unsigned i = 0; i < CHOICES; i++) {
		struct net_gateway gateway;
		unsigned tries = 0;

		while (tries++ < TRIES_MAX &&
		    g.tunnels.ops->choose(&g, &gateway)) {
			g.tunnels.ops->report(&g, &gateway,
			    is_cut(&gateway) ? TUNNEL_UNREACHED : TUNNEL_OPEN);
			if (is_cut(&gateway))
				continue;
			served++;
			uses[gateway.incarnation]++;
			break;
		}
	}
	for (unsigned i = 0; i <= PEERS; i++)
		most = MAX(most, uses[i]);
	CU_ASSERT_TRUE(served >= CHOICES * 95 / 100);
	CU_ASSERT_TRUE(g.n <= MESH_GATEWAYS_MAX);
	CU_ASSERT_TRUE(most <= CHOICES * 4 / MESH_GATEWAYS_HEARD_MAX * 2);
	printf("served %u of %u, most through one %u\n", served, CHOICES, most);
	mesh_clear(&mesh);
	uv_loop_close(&loop);
}

/* What becomes of a tunnel whose gateway begins to drain while it connects. */
struct drain_case {
	struct tunnel_server server;
	uv_timer_t drain;
	bool established;
	enum tunnel_result result;
};

static void
on_drain(uv_timer_t *timer)
{
	struct drain_case *dc = timer->data;

	tunnel_server_drain(&dc->server);
	uv_close((uv_handle_t *)timer, NULL);
}

/* The gateway connects to the endpoint next: it drains in between. */
static enum tunnel_result
drain_judge(void *arg, const struct sockaddr_in *peer)
{
	struct drain_case *dc = arg;

	if (!dc->server.draining)
		uv_timer_start(&dc->drain, on_drain, 0, 0);
	return (TUNNEL_OPEN);
}

static const struct tunnel_server_ops drain_server_ops = {
	.judge = drain_judge,
};

static void
drain_link_established(struct net_link *link)
{
	struct drain_case *dc = link->owner;

	dc->established = true;
	net_link_close(link);
	uv_stop(dc->server.loop);
}

static void
drain_link_failed(struct net_link *link, enum tunnel_result result)
{
	struct drain_case *dc = link->owner;

	dc->result = result;
	uv_stop(dc->server.loop);
}

static const struct net_link_ops drain_link_ops = {
	.established = drain_link_established,
	.failed = drain_link_failed,
};

static void
on_endpoint_connection(uv_stream_t *listener, int status)
{
}

/* Address at which a listener accepts connections. */
static struct sockaddr_in
listener_address(const uv_tcp_t *listener)
{
	struct sockaddr_in addr;
	int length = sizeof addr;

	CU_ASSERT_EQUAL(uv_tcp_getsockname(listener, (struct sockaddr *)&addr,
			    &length),
	    0);
	return (addr);
}

static void
close_handle(uv_handle_t *handle, void *arg)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/* Guards against a tunnel that is opened through a gateway that drains: its
 * request would be lost at the end of the gateway's grace time. */
static void
test_drain_while_connecting(void)
{
	struct drain_case dc = { .result = TUNNEL_OPEN };
	struct tunnel_request request = { .kind = TUNNEL_CONNECT };
	struct net_gateway gateway = { 0 };
	struct sockaddr_in any;
	uv_tcp_t endpoint;
	uv_loop_t loop;

	uv_loop_init(&loop);
	uv_ip4_addr("127.0.0.1", 0, &any);
	uv_tcp_init(&loop, &endpoint);
	CU_ASSERT_EQUAL(uv_tcp_bind(&endpoint, (const struct sockaddr *)&any,
			    0),
	    0);
	CU_ASSERT_EQUAL(uv_listen((uv_stream_t *)&endpoint, 1,
			    on_endpoint_connection),
	    0);
	uv_timer_init(&loop, &dc.drain);
	dc.drain.data = &dc;
	dc.server.ops = &drain_server_ops;
	dc.server.arg = &dc;
	CU_ASSERT_EQUAL(tunnel_server_open(&dc.server, &loop, &any), 0);
	request.peer = listener_address(&endpoint);
	gateway.addr = listener_address(&dc.server.listener);
	net_link_open_tunnel(&loop, &gateway, &request, &drain_link_ops, &dc);
	uv_run(&loop, UV_RUN_DEFAULT);
	CU_ASSERT_TRUE(dc.server.draining);
	CU_ASSERT_FALSE(dc.established);
	CU_ASSERT_EQUAL(dc.result, TUNNEL_DRAINING);
	uv_run(&loop, UV_RUN_NOWAIT);
	uv_walk(&loop, close_handle, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
}

int
main(void)
{
	CU_pSuite suite;
	unsigned failures;

	CU_initialize_registry();
	suite = CU_add_suite("tunnel", NULL, NULL);
	CU_add_test(suite, "request", test_request);
	CU_add_test(suite, "fragments", test_fragments);
	CU_add_test(suite, "list", test_list);
	CU_add_test(suite, "paths", test_paths);
	CU_add_test(suite, "half cut", test_half_cut);
	CU_add_test(suite, "drain while connecting",
	    test_drain_while_connecting);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures == 0 ? 0 : 1);
}
