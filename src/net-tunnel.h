/* Messages of a tunnel: a connection to a peer through another daemon, which is
 * the tunnel's gateway. */
#ifndef BL_NET_TUNNEL_H
#define BL_NET_TUNNEL_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Encoded sizes of a request and of a reply, and of the header of a fragment,
 * in bytes. */
#define TUNNEL_REQUEST_BYTES 32
#define TUNNEL_REPLY_BYTES 8
#define TUNNEL_HEADER_BYTES 4

/* Gateways in a list, and the largest size of one, in bytes. */
#define TUNNEL_LIST_MAX 8
#define TUNNEL_LIST_BYTES (TUNNEL_LIST_MAX * 20)

/**
 * enum tunnel_result - outcome of a request for a tunnel.
 * @TUNNEL_OPEN: the gateway is connected to the peer
 * @TUNNEL_UNREACHED: the gateway doesn't reach the peer
 * @TUNNEL_REFUSED: the peer refuses the gateway's connection
 * @TUNNEL_DECLINED: the peer wants nothing from the gateway for now
 * @TUNNEL_BUSY: the gateway has as many tunnels as it may
 * @TUNNEL_DRAINING: the gateway is shutting down
 * @TUNNEL_NO_REPLY: the gateway did not reply
 */
enum tunnel_result {
	TUNNEL_OPEN,
	TUNNEL_UNREACHED,
	TUNNEL_REFUSED,
	TUNNEL_DECLINED,
	TUNNEL_BUSY,
	TUNNEL_DRAINING,
	TUNNEL_NO_REPLY,
};

/**
 * enum tunnel_request_kind - what is asked of a gateway.
 * @TUNNEL_CONNECT: a tunnel to a peer
 * @TUNNEL_NOTE_BACKOFF: to note that the peer has asked for a backoff in what
 *	came through it
 * @TUNNEL_NOTE_DRAINING: to note that the peer has said there that it drains
 * @TUNNEL_LIST: to name other gateways
 */
enum tunnel_request_kind {
	TUNNEL_CONNECT = 1,
	TUNNEL_NOTE_BACKOFF,
	TUNNEL_NOTE_DRAINING,
	TUNNEL_LIST,
};

/**
 * struct tunnel_request - request to a gateway.
 * @kind: what is asked
 * @ms: length of the backoff, in ms; 0 otherwise
 * @peer: IPv4 address and port of the peer
 * @credential: the gateway's incarnation, which only daemons that it sends its
 *	state to know
 * @name_hash: hash of the name of the requesting daemon, for the log
 */
struct tunnel_request {
	enum tunnel_request_kind kind;
	uint32_t ms;
	struct sockaddr_in peer;
	uint64_t credential;
	uint32_t name_hash;
};

/**
 * struct tunnel_gateway - a gateway that another one names.
 * @addr: IPv4 address that it listens on for other daemons, and its port
 * @incarnation: random number of its current run
 * @name_hash: hash of its name
 */
struct tunnel_gateway {
	struct sockaddr_in addr;
	uint64_t incarnation;
	uint32_t name_hash;
};

/**
 * struct tunnel_decoder - decoder of the fragments that the gateway sends: the
 * peer's bytes with the record marking of ONC RPC (RFC 5531, section 11), so
 * that an end of the gateway is not taken for one of the peer. An empty
 * fragment that is not the last one says that the peer wants no more requests
 * from the gateway.
 * @header: the header being read
 * @n_header: bytes of it that were read
 * @left: bytes of the fragment that are not read yet
 * @last: the fragment is the last one: the peer has closed its side
 * @declined: an empty fragment was read
 */
struct tunnel_decoder {
	unsigned char header[TUNNEL_HEADER_BYTES];
	unsigned n_header;
	uint32_t left;
	bool last;
	bool declined;
};

void tunnel_request_encode(const struct tunnel_request *,
    char[TUNNEL_REQUEST_BYTES]);
bool tunnel_request_decode(struct tunnel_request *, char[TUNNEL_REQUEST_BYTES]);
void tunnel_reply_encode(enum tunnel_result, char[TUNNEL_REPLY_BYTES]);
bool tunnel_reply_decode(enum tunnel_result *, char[TUNNEL_REPLY_BYTES]);
const char *tunnel_result_name(enum tunnel_result);
size_t tunnel_list_encode(const struct tunnel_gateway *, unsigned,
    char[TUNNEL_LIST_BYTES]);
unsigned tunnel_list_decode(struct tunnel_gateway[TUNNEL_LIST_MAX], char *,
    size_t);
void tunnel_header_encode(uint32_t, bool, char[TUNNEL_HEADER_BYTES]);
size_t tunnel_decode(struct tunnel_decoder *, const char *, size_t,
    const char **, size_t *);
bool tunnel_decoder_ended(const struct tunnel_decoder *);

#endif
