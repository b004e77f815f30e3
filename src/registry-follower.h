/* Follows a topic of the store, and tracks the age of the local copy. */
#ifndef BL_REGISTRY_FOLLOWER_H
#define BL_REGISTRY_FOLLOWER_H

#include <uv.h>

#include "offset-ranges.h"
#include "store-ops.h"

/**
 * struct topic_follower_ops - callbacks of the owner.
 * @record: called with each record read: a key's newest value, or its removal
 * @snapshot_done: a snapshot is complete; keys that are not in the set no
 *	longer exist
 * @advanced: called after the records from the first offset to the second were
 *	passed to @record; after a snapshot of a topic that was known before,
 *	the range is what is new since then
 * @answered: the store has answered a call that was sent at that loop time;
 *	called before its records are passed; NULL if of no use
 * @failed: a call has failed; NULL if of no use
 */
struct topic_follower_ops {
	void (*record)(void *, const struct store_record *);
	void (*snapshot_done)(void *, GHashTable *);
	void (*advanced)(void *, uint64_t, uint64_t);
	void (*answered)(void *, uint64_t);
	void (*failed)(void *);
};

/**
 * struct topic_update - what a peer read of a topic.
 * @from: start offset of its read
 * @end: end offset of its read
 * @as_of_ms: loop time as of which the topic ended there; 0 for unknown
 * @took_ms: time that its read took
 * @records: all that changed in that range, of struct store_record
 */
struct topic_update {
	uint64_t from;
	uint64_t end;
	uint64_t as_of_ms;
	unsigned took_ms;
	const GArray *records;
};

/**
 * struct topic_follower - state of following one topic.
 * @store: the store
 * @loop: the event loop
 * @topic: the topic to follow
 * @ops: the owner's callbacks
 * @owner: argument of the callbacks
 * @interval_ms: pause between two reads
 * @fallback_ms: the store is read here after no update from peers for so long;
 *	0 if peers send no updates
 * @retry_ms: where this daemon does not read for others, longest pause after a
 *	failure, and the pause while nothing shows that the store answers others
 * @reader: this daemon reads the topic on behalf of the others
 * @relays: what the newest read returns is to be relayed to peers: this daemon
 *	is the reader, or has had no update from peers in time
 * @partial: updates from peers leave out records that only a reader needs
 * @snapshot_due: the local copy lacks records that peers left out, so a
 *	snapshot is to be read
 * @called_ms: loop time of the newest call to the store
 * @read_from: offset at which the newest read began; for a snapshot, the
 *	offset up to which the topic was known before
 * @peer_update_ms: loop time as of which updates from peers are complete
 * @peer_took_ms: time that the newest of the reads in these updates took
 * @peer_read_ms: newest loop time as of which a peer has read the topic,
 *whether or not its updates are complete here
 * @timer: runs out when the next read is due
 * @next: offset of the next record: all before it are known
 * @ahead: further offsets that are known from peers' updates
 * @ahead_offsets: key to the newest offset of its records in @ahead, plus one
 * @synced: a snapshot has been complete once
 * @busy: a call to the store is pending
 * @snapshot_keys: keys of the snapshot that is being read; NULL while tailing
 * @after: last key of the previous page of the snapshot
 * @snapshot_end: end offset of the topic as of the snapshot's first page
 * @snapshot_ms: loop time just before the call for that page
 * @peer_end: offset up to which peers have passed the topic on while the
 *	snapshot is read
 * @proof_ms: loop time as of which the local copy is known to be current; 0
 *	for never
 * @more: the newest read was cut short, so the local copy lacks newer records
 * @failures: consecutive failed calls
 * @records_ms: loop time as of which the records that are passed to the owner
 *	were read
 * @copy_ms: loop time as of which the local copy was current before them
 * @held: no calls yet, as a peer may provide a snapshot
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
	unsigned retry_ms;
	bool reader;
	bool relays;
	bool partial;
	bool snapshot_due;
	uint64_t called_ms;
	uint64_t read_from;
	uint64_t peer_update_ms;
	unsigned peer_took_ms;
	uint64_t peer_read_ms;
	uv_timer_t timer;
	uint64_t next;
	struct offset_ranges ahead;
	GHashTable *ahead_offsets;
	bool synced;
	bool busy;
	GHashTable *snapshot_keys;
	char *after;
	uint64_t snapshot_end;
	uint64_t snapshot_ms;
	uint64_t peer_end;
	uint64_t proof_ms;
	bool more;
	unsigned failures;
	uint64_t records_ms;
	uint64_t copy_ms;
	bool held;
	bool stopped;
};

/* registry-follower.c: reading the topic. */
void topic_follower_init(struct topic_follower *, struct store *, uv_loop_t *,
    enum store_topic, const struct topic_follower_ops *, void *);
void topic_follower_start(struct topic_follower *);
void topic_follower_hold(struct topic_follower *);
void topic_follower_release(struct topic_follower *);
void topic_follower_resync(struct topic_follower *);
void topic_follower_adopt(struct topic_follower *, uint64_t, uint64_t);
void topic_follower_stop(struct topic_follower *);
void topic_follower_clear(struct topic_follower *);
void topic_follower_poll(struct topic_follower *);
void topic_follower_set_reader(struct topic_follower *, bool);

/* registry-follower-peers.c: what peers read, and how current the copy is. */
void topic_follower_init_copy(struct topic_follower *);
void topic_follower_begin_records(struct topic_follower *, uint64_t);
bool topic_follower_apply(struct topic_follower *, const struct topic_update *);
void topic_follower_pass(struct topic_follower *, const struct store_record *);
bool topic_follower_ahead_full(const struct topic_follower *);
void topic_follower_advance(struct topic_follower *, uint64_t);
void topic_follower_skip(struct topic_follower *, uint64_t);
void topic_follower_set_updated(struct topic_follower *, uint64_t);
uint64_t topic_follower_covered_until(const struct topic_follower *);
bool topic_follower_complete(const struct topic_follower *);
bool topic_follower_overtaken(const struct topic_follower *,
    const struct store_record *);
uint64_t topic_follower_age(const struct topic_follower *, uint64_t);
uint64_t topic_follower_copy_age(const struct topic_follower *, uint64_t);

#endif
