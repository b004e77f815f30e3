/*
 * RPC between daemons. The names are stable; procedures may be added, but
 * existing ones never change.
 */

const PEER_NAME_MAX = 64;
const PEER_TARGETS_MAX = 160;
const PEER_HOSTS_MAX = 128;
const PEER_MEMBERS_MAX = 2;
const PEER_LIVES_MAX = 64;
const PEER_ID_MAX = 200;
const PEER_BODY_MAX = 1024;
const PEER_CHUNK_MAX = 6144;

/*
 * What the replying daemon knows of a target. Targets make up most of the
 * data that daemons exchange, so all but the key is packed; see peer-pack.h.
 */
struct peer_target {
	unsigned hyper key;
	unsigned int news;
};

/* The replying daemon's own evidence of a host in its failure domain. */
struct peer_host {
	unsigned int key;
	unsigned int news;
	unsigned hyper epoch;
	unsigned int held;
	unsigned int model;
};

/* A daemon; age_ms is the age of the newest evidence that it is alive. */
struct peer_member {
	string name<PEER_NAME_MAX>;
	string domain<PEER_NAME_MAX>;
	unsigned int ip;
	unsigned int port;
	unsigned hyper boot;
	unsigned hyper applied;
	unsigned int age_ms;
	bool leaving;
};

/*
 * Liveness of a daemon that the querying one may know already; key is a hash
 * of its name.
 */
struct peer_life {
	unsigned int key;
	unsigned int news;
};

struct pull_request {
	peer_member from;
};

/* A daemon's own evidence of hosts, for the controller of the domain. */
struct hosts_reply {
	peer_host hosts<PEER_HOSTS_MAX>;
};

struct pull_reply {
	peer_member self;
	peer_target targets<PEER_TARGETS_MAX>;
	peer_member members<PEER_MEMBERS_MAX>;
	peer_life lives<PEER_LIVES_MAX>;
};

/* Request for a part of the dumped state, by a daemon that is behind. */
struct state_request {
	unsigned hyper after;
	unsigned hyper at;
	unsigned int begin;
};

struct state_reply {
	unsigned hyper at;
	unsigned int total;
	opaque chunk<PEER_CHUNK_MAX>;
};

/* One operation on a request id; see claim-index.h. */
struct claim_op {
	unsigned int op;
	string id<PEER_ID_MAX>;
	string token<PEER_NAME_MAX>;
	unsigned hyper fingerprint;
	int status;
	opaque body<PEER_BODY_MAX>;
};

struct claim_request {
	claim_op item;
	unsigned int reply_ip;
	unsigned int reply_port;
};

struct claim_answer {
	unsigned int verdict;
	int status;
	opaque body<PEER_BODY_MAX>;
};

struct claim_decision {
	unsigned int op;
	string token<PEER_NAME_MAX>;
	claim_answer answer;
};

program BANKLIFT_PEER {
	version BANKLIFT_PEER_V1 {
		pull_reply PEER_PULL(pull_request) = 1;
		state_reply PEER_STATE(state_request) = 2;
		claim_answer PEER_CLAIM(claim_request) = 3;
		void PEER_DECIDED(claim_decision) = 4;
		hosts_reply PEER_HOSTS(void) = 5;
	} = 1;
} = 0x20000b11;
