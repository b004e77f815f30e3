/* Evidence: the newest probe answer of a host, and when the probe was sent. */
#include <string.h>
#include <xxhash.h>

#include "evidence.h"

static enum host_state
state_parse(const char *name)
{
	if (strcmp(name, "idle") == 0)
		return (HOST_IDLE);
	if (strcmp(name, "loading") == 0)
		return (HOST_LOADING);
	if (strcmp(name, "ready") == 0)
		return (HOST_READY);
	if (strcmp(name, "leaving") == 0)
		return (HOST_LEAVING);
	return (HOST_UNKNOWN);
}

/**
 * evidence_model_hash() - hash a model's name.
 * @name: the name
 *
 * Return: the hash; 0 for the empty name.
 */
uint32_t
evidence_model_hash(const char *name)
{
	return (name[0] != '\0' ? XXH32(name, strlen(name), 0) : 0);
}

/**
 * evidence_parse() - parse a host's answer to a probe.
 * @ev: filled in
 * @json: the answer
 * @sent_ms: monotonic time just before the probe was sent
 *
 * Return: false, with @ev untouched, when the answer is malformed.
 */
bool
evidence_parse(struct evidence *ev, json_t *json, uint64_t sent_ms)
{
	const char *state, *model = "";
	json_int_t epoch = 0, load = 0;
	int shard = -1, shards = 0;

	if (json_unpack(json, "{s:s, s?I, s?s, s?i, s?i, s?I}", "state", &state,
		"epoch", &epoch, "model", &model, "shard", &shard, "shards",
		&shards, "load", &load) != 0)
		return (false);
	ev->as_of_ms = sent_ms;
	ev->state = state_parse(state);
	ev->epoch = (uint64_t)epoch;
	ev->model_hash = evidence_model_hash(model);
	ev->shard = shard;
	ev->shards = shards;
	ev->load = (uint32_t)load;
	return (true);
}

/**
 * evidence_fresh() - whether the evidence has not expired.
 * @ev: the evidence
 * @now: monotonic time, in ms
 * @limit_ms: age at which evidence expires
 */
bool
evidence_fresh(const struct evidence *ev, uint64_t now, uint64_t limit_ms)
{
	return (ev->as_of_ms != 0 && now < ev->as_of_ms + limit_ms);
}

/**
 * evidence_ready_in() - whether the host reports that it is ready in a group.
 * @ev: the evidence
 * @epoch: the group's epoch
 */
bool
evidence_ready_in(const struct evidence *ev, uint64_t epoch)
{
	return (ev->epoch == epoch && ev->state == HOST_READY);
}

/**
 * evidence_idle() - whether the host reports that it is idle and in no group.
 * @ev: the evidence
 */
bool
evidence_idle(const struct evidence *ev)
{
	return (ev->state == HOST_IDLE && ev->epoch == 0);
}
