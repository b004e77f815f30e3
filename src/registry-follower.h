/* Follows a topic of the store and knows how old its knowledge is. */
#ifndef BL_REGISTRY_FOLLOWER_H
#define BL_REGISTRY_FOLLOWER_H

#include <uv.h>

#include "store-ops.h"

/**
 * struct topic_follower_ops - what the owner is told.
 * @record: a key's newest value, or its removal
 * @snapshot_done: a snapshot is complete; keys not in the set have gone
 * @advanced: records from an offset to another were read, and told, just now;
 *for a snapshot of one that knew the topic before, what is new since then
 */
struct topic_follower_ops {
	void (*record)(void *, const struct store_record *);
	void (*snapshot_done)(void *, GHashTable *);
	void (*advanced)(void *, uint64_t, uint64_t);
};

/**
 * struct topic_follower - one followed topic.
 * @store: the store
 * @loop: the event loop
 * @topic: what is followed
 * @ops: the owner's functions
 * @owner: the owner
 * @interval_ms: between two reads
 * @fallback_ms: without news from peers for so long, read oneself; 0 where
 *	there are no news from peers
 * @slow_retry: others ask a store that is away again
 * @reader: this daemon reads for the others
 * @relays: what the newest read brings is new to others: this daemon is the
 *	reader, or heard of none in time
 * @partial: peers' news leave out what only a reader needs
 * @snapshot_due: what is known lacks what others left out; a snapshot is due
 * @called_ms: when the store was last asked
 * @read_from: offset that the newest read began at; of a snapshot, up to which
 *	the topic was known before it
 * @peer_update_ms: loop time as of which peers' news were complete
 * @timer: the pause
 * @next: offset of the next record
 * @synced: a snapshot was complete once
 * @snapshot_keys: keys of the snapshot being read; NULL while tailing
 * @after: last key of the page before
 * @snapshot_end: where the topic ended at the first page
 * @proof_ms: the state is known as of this loop time; 0 for never
 * @failures: calls in a row without a good answer
 * @regained_ms: loop time at which it answered again; 0 for never lost
 * @held: no calls yet: what is known may come from a peer
 * @stopped: no more calls
 */
struct topic_follower {
	struct store *store;
	uv_loop_t *loop;
	enum store_topic topic;
	const struct topic_follower_ops *ops;
	void *owner;
	unsigned interval_ms;
	unsigned fallback_ms;
	bool slow_retry;
	bool reader;
	bool relays;
	bool partial;
	bool snapshot_due;
	uint64_t called_ms;
	uint64_t read_from;
	uint64_t peer_update_ms;
	uv_timer_t timer;
	uint64_t next;
	bool synced;
	bool busy;
	GHashTable *snapshot_keys;
	char *after;
	uint64_t snapshot_end;
	uint64_t proof_ms;
	unsigned failures;
	uint64_t regained_ms;
	bool held;
	bool stopped;
};

void topic_follower_init(struct topic_follower *, struct store *, uv_loop_t *,
    enum store_topic, const struct topic_follower_ops *, void *);
void topic_follower_start(struct topic_follower *);
void topic_follower_hold(struct topic_follower *);
void topic_follower_release(struct topic_follower *);
void topic_follower_resync(struct topic_follower *);
void topic_follower_adopt(struct topic_follower *, uint64_t, uint64_t);
void topic_follower_stop(struct topic_follower *);
void topic_follower_poll(struct topic_follower *);
bool topic_follower_apply(struct topic_follower *, uint64_t, uint64_t,
    const GArray *);
void topic_follower_skip(struct topic_follower *, uint64_t);
void topic_follower_set_updated(struct topic_follower *, uint64_t);
void topic_follower_set_reader(struct topic_follower *, bool);
bool topic_follower_complete(const struct topic_follower *);
bool topic_follower_overtaken(const struct topic_follower *);
uint64_t topic_follower_age(const struct topic_follower *, uint64_t);

#endif
