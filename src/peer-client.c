/* Client side of the ONC RPC between daemons: UDP, without a port mapper. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "config.h"
#include "control-traffic.h"
#include "net-address.h"
#include "peer-client.h"
#include "peer-gossip.h"
#include "server.h"

#define DATAGRAM_BYTES 16384
/* Headers of an RPC call and its reply, without authentication. */
#define RPC_HEADER_BYTES 64
/* Interval at which a call is sent again until it is answered. */
#define RESEND_MS 150
#define PULL_TIMEOUT_MS 400
#define STATE_TIMEOUT_MS 1000
/* Not 0, with which libtirpc sends nothing at all. */
#define DECIDED_TIMEOUT_MS 20
/* A larger dump of a state is taken to be invalid. */
#define STATE_MAX_BYTES (64u * 1024 * 1024)

/* Encodes an empty argument, or decodes an empty result. */
static bool_t
xdr_empty(XDR *xdrs, ...)
{
	return (TRUE);
}

static struct timeval
timeval_from_ms(unsigned ms)
{
	struct timeval tv = { ms / 1000, (suseconds_t)(ms % 1000) * 1000 };

	return (tv);
}

/* Creates a client handle for a peer; NULL when that fails. */
static CLIENT *
client_open(uint32_t ip, uint16_t port)
{
	struct sockaddr_in sin = net_address_make(htonl(ip), port);
	struct netbuf address = { sizeof sin, sizeof sin, &sin };
	struct timeval resend = timeval_from_ms(RESEND_MS);
	CLIENT *client;
	int fd;

	fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (NULL);
	client = clnt_dg_create(fd, &address, BANKLIFT_PEER, BANKLIFT_PEER_V1,
	    DATAGRAM_BYTES, DATAGRAM_BYTES);
	if (client == NULL) {
		close(fd);
		return (NULL);
	}
	clnt_control(client, CLSET_FD_CLOSE, NULL);
	clnt_control(client, CLSET_RETRY_TIMEOUT, (char *)&resend);
	return (client);
}

/* Makes one call, with a handle of its own. */
static bool
client_call(uint32_t ip, uint16_t port, rpcproc_t proc, xdrproc_t xargs,
    void *args, xdrproc_t xres, void *res, unsigned timeout_ms)
{
	CLIENT *client = client_open(ip, port);
	enum clnt_stat stat;

	if (client == NULL)
		return (false);
	stat = clnt_call(client, proc, xargs, args, xres, res,
	    timeval_from_ms(timeout_ms));
	clnt_destroy(client);
	control_traffic_add(TRAFFIC_PEER,
	    RPC_HEADER_BYTES + xdr_sizeof(xargs, args) +
		(res != NULL && stat == RPC_SUCCESS ? xdr_sizeof(xres, res) :
						      0));
	return (stat == RPC_SUCCESS);
}

/**
 * peer_pull() - query a daemon for gossip, and apply it.
 * @server: this daemon
 * @ip: the peer's address in host byte order
 * @port: the peer's port
 *
 * Ages in the reply are counted back from the time before the request was
 * sent, so a delay of the reply, or a pause of this daemon, only makes the
 * information older.
 *
 * Return: false when there was no reply.
 */
bool
peer_pull(struct server *server, uint32_t ip, uint16_t port)
{
	pull_request req = { 0 };
	pull_reply reply = { 0 };
	uint64_t sent_ms = clock_now_ms();

	peer_gossip_fill_self(server, &req.from);
	if (!client_call(ip, port, PEER_PULL, (xdrproc_t)xdr_pull_request, &req,
		(xdrproc_t)xdr_pull_reply, &reply, PULL_TIMEOUT_MS))
		return (false);
	peer_gossip_apply(server, &reply, sent_ms);
	xdr_free((xdrproc_t)xdr_pull_reply, &reply);
	return (true);
}

/**
 * peer_pull_hosts() - query a daemon for its evidence of hosts, and apply it.
 * @server: this daemon
 * @ip: the peer's address in host byte order
 * @port: the peer's port
 */
bool
peer_pull_hosts(struct server *server, uint32_t ip, uint16_t port)
{
	uint64_t sent_ms = clock_now_ms();
	hosts_reply reply = { 0 };

	if (!client_call(ip, port, PEER_HOSTS, xdr_empty, NULL,
		(xdrproc_t)xdr_hosts_reply, &reply, PULL_TIMEOUT_MS))
		return (false);
	peer_gossip_apply_hosts(server, &reply, sent_ms);
	xdr_free((xdrproc_t)xdr_hosts_reply, &reply);
	return (true);
}

/* Fetches the parts of a dump; all must be of the state at one offset. */
static bool
fetch_dump(const struct member *from, uint64_t after, GByteArray *text)
{
	state_request req = { .after = after };
	unsigned total = 1;

	while (text->len < total) {
		state_reply reply = { 0 };
		bool ok;

		req.begin = text->len;
		if (!client_call(from->ip, from->port, PEER_STATE,
			(xdrproc_t)xdr_state_request, &req,
			(xdrproc_t)xdr_state_reply, &reply, STATE_TIMEOUT_MS))
			return (false);
		ok = reply.total > 0 && reply.total <= STATE_MAX_BYTES &&
		    reply.chunk.chunk_len > 0 &&
		    (req.at == 0 || reply.at == req.at);
		req.at = reply.at;
		total = reply.total;
		g_byte_array_append(text, (guint8 *)reply.chunk.chunk_val,
		    reply.chunk.chunk_len);
		xdr_free((xdrproc_t)xdr_state_reply, &reply);
		if (!ok)
			return (false);
	}
	return (true);
}

/**
 * peer_fetch_state() - fetch the state of the most advanced peer.
 * @server: this daemon
 * @next: first offset that this daemon has not applied
 *
 * Return: a dump, or NULL when no peer is beyond @next or the fetch failed.
 */
json_t *
peer_fetch_state(struct server *server, uint64_t next)
{
	g_autoptr(GByteArray) text = NULL;
	struct member from;

	if (!members_most_advanced(&server->members, next, clock_now_ms(),
		&from))
		return (NULL);
	text = g_byte_array_new();
	if (!fetch_dump(&from, next, text))
		return (NULL);
	return (json_loadb((const char *)text->data, text->len, 0, NULL));
}

/**
 * peer_claim() - send an operation on a request id to a daemon.
 * @ip: the peer's address in host byte order
 * @port: the peer's port
 * @req: the operation
 * @answer: filled in; free with xdr_free()
 * @timeout_ms: timeout of the call, in ms
 */
bool
peer_claim(uint32_t ip, uint16_t port, struct claim_request *req,
    struct claim_answer *answer, unsigned timeout_ms)
{
	memset(answer, 0, sizeof *answer);
	return (client_call(ip, port, PEER_CLAIM, (xdrproc_t)xdr_claim_request,
	    req, (xdrproc_t)xdr_claim_answer, answer, timeout_ms));
}

/**
 * peer_send_decision() - send the decision on an operation to a daemon.
 * @ip: the peer's address in host byte order
 * @port: the peer's port
 * @decision: the decision
 *
 * Waits for the reply for DECIDED_TIMEOUT_MS only. Losing the message does no
 * harm, since the daemon sends the operation again.
 */
void
peer_send_decision(uint32_t ip, uint16_t port, struct claim_decision *decision)
{
	client_call(ip, port, PEER_DECIDED, (xdrproc_t)xdr_claim_decision,
	    decision, xdr_empty, NULL, DECIDED_TIMEOUT_MS);
}
