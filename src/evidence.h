/* Evidence: the newest probe answer of a host, and when the probe was sent. */
#ifndef BL_EVIDENCE_H
#define BL_EVIDENCE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum host_state {
	HOST_UNKNOWN,
	HOST_IDLE,
	HOST_LOADING,
	HOST_READY,
	HOST_LEAVING,
};

/**
 * struct evidence - the newest probe answer of a host.
 * @as_of_ms: local monotonic time just before the probe was sent, so that a
 *	pause of this daemon only makes the evidence older; 0 for never
 * @state: state of the host
 * @epoch: epoch of the group that the host reports; 0 for none
 * @model_hash: hash of the name of the model whose weights it holds; 0 for none
 * @shard: rank of the shard of these weights
 * @shards: number of shards that these weights are split into
 * @load: number of requests that run or are queued on the host
 */
struct evidence {
	uint64_t as_of_ms;
	enum host_state state;
	uint64_t epoch;
	uint32_t model_hash;
	int shard;
	int shards;
	uint32_t load;
};

bool evidence_parse(struct evidence *, json_t *, uint64_t);
uint32_t evidence_model_hash(const char *);
bool evidence_fresh(const struct evidence *, uint64_t, uint64_t);
bool evidence_ready_in(const struct evidence *, uint64_t);
bool evidence_idle(const struct evidence *);

#endif
