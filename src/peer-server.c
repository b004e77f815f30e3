/*
 * Server side of the ONC RPC between daemons. A single thread serves all
 * calls, so handlers must be short; longer work is passed to other threads.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "claims.h"
#include "control-traffic.h"
#include "error.h"
#include "net-address.h"
#include "peer-gossip.h"
#include "peer-server.h"
#include "peer_rpc.h"
#include "server.h"

#define DATAGRAM_BYTES 16384
/* Interval at which the thread checks whether the daemon is stopping. */
#define POLL_MS 100

/* Static, since rpcgen's handlers get no argument that could carry it. */
static struct server *peer_server;
static int peer_fd = -1;

void banklift_peer_1(struct svc_req *, SVCXPRT *);

/**
 * peer_server_open() - bind the peer address and register the RPC program.
 * @server: this daemon
 * @error: ERROR_BAD_SETTING when the address cannot be bound
 */
bool
peer_server_open(struct server *server, GError **error)
{
	struct sockaddr_in sin =
	    net_address_make(htonl(server->members.self.ip),
		server->members.self.port);
	SVCXPRT *xprt;

	peer_server = server;
	peer_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (peer_fd < 0 ||
	    bind(peer_fd, (struct sockaddr *)&sin, sizeof sin) != 0) {
		error_set(error, ERROR_BAD_SETTING, "--peer-address: %s",
		    g_strerror(errno));
		return (false);
	}
	xprt = svc_dg_create(peer_fd, DATAGRAM_BYTES, DATAGRAM_BYTES);
	if (xprt == NULL ||
	    !svc_reg(xprt, BANKLIFT_PEER, BANKLIFT_PEER_V1, banklift_peer_1,
		NULL)) {
		error_set(error, ERROR_BAD_SETTING,
		    "--peer-address: no RPC transport");
		return (false);
	}
	return (true);
}

/**
 * peer_server_run() - thread that serves calls of other daemons.
 * @arg: the struct server
 */
void *
peer_server_run(void *arg)
{
	struct server *server = arg;
	struct pollfd pfd = { .fd = peer_fd, .events = POLLIN };

	while (!atomic_load(&server->stopping)) {
		if (poll(&pfd, 1, POLL_MS) > 0)
			svc_getreq_common(peer_fd);
	}
	return (NULL);
}

/* Serves PEER_PULL: gossip. */
bool_t
peer_pull_1_svc(pull_request req, pull_reply *reply, struct svc_req *rqstp)
{
	peer_gossip_introduce(peer_server, &req.from);
	peer_gossip_fill(peer_server, reply);
	return (TRUE);
}

/* Serves PEER_STATE: one part of the dumped state. */
bool_t
peer_state_1_svc(state_request req, state_reply *reply, struct svc_req *rqstp)
{
	static char *text;
	static uint64_t text_at;
	json_auto_t *dump = NULL;
	size_t len, n;

	memset(reply, 0, sizeof *reply);
	/* The dump is kept for requests of the parts after the first. */
	if (req.begin == 0 || text == NULL || text_at != req.at) {
		g_mutex_lock(&peer_server->config.lock);
		if (peer_server->config.state->next > req.after) {
			dump = state_dump(peer_server->config.state);
			text_at = peer_server->config.state->next;
		}
		g_mutex_unlock(&peer_server->config.lock);
		if (dump == NULL)
			return (TRUE);
		free(text);
		text = json_dumps(dump, JSON_COMPACT);
	}
	len = strlen(text);
	if (req.begin >= len)
		return (TRUE);
	n = MIN(len - req.begin, PEER_CHUNK_MAX);
	reply->at = text_at;
	reply->total = (unsigned)len;
	reply->chunk.chunk_val = g_memdup2(text + req.begin, n);
	reply->chunk.chunk_len = (unsigned)n;
	return (TRUE);
}

/* Serves PEER_CLAIM: an operation on a request id. */
bool_t
peer_claim_1_svc(claim_request req, claim_answer *answer, struct svc_req *rqstp)
{
	claims_serve(peer_server->claims, &req, answer);
	return (TRUE);
}

/* Serves PEER_DECIDED: the decision on an operation of this daemon. */
bool_t
peer_decided_1_svc(claim_decision decision, void *result, struct svc_req *rqstp)
{
	claims_note_decision(peer_server->claims,
	    (enum claim_op_kind)decision.op, decision.token, &decision.answer);
	return (TRUE);
}

/* Serves PEER_HOSTS: this daemon's own evidence of hosts. */
bool_t
peer_hosts_1_svc(hosts_reply *reply, struct svc_req *rqstp)
{
	peer_gossip_fill_hosts(peer_server, reply);
	return (TRUE);
}

/* Frees a result after it was sent; called by rpcgen's code. */
int
banklift_peer_1_freeresult(SVCXPRT *xprt, xdrproc_t xdr, caddr_t result)
{
	control_traffic_add(TRAFFIC_PEER, xdr_sizeof(xdr, result));
	xdr_free(xdr, result);
	return (1);
}
