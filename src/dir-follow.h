/* Follows a topic of the store and knows how old its knowledge is. */
#ifndef BL_DIR_FOLLOW_H
#define BL_DIR_FOLLOW_H

#include <uv.h>

#include "store-ops.h"

/**
 * struct dir_follow_ops - what the owner is told.
 * @record: a key's newest value, or its removal
 * @whole: a snapshot is complete; keys not in the set have gone
 * @fresh: records from an offset to another were read, and told, just now; for
 *	a snapshot of one that knew the topic before, what is new since then
 */
struct dir_follow_ops {
	void (*record)(void *, const struct store_record *);
	void (*whole)(void *, GHashTable *);
	void (*fresh)(void *, uint64_t, uint64_t);
};

/**
 * struct dir_follow - one followed topic.
 * @store: the store
 * @loop: the event loop
 * @topic: what is followed
 * @ops: the owner's functions
 * @owner: the owner
 * @pause_ms: between two reads
 * @fallback_ms: without news from peers for so long, read oneself; 0 where
 *	there are no news from peers
 * @led: others ask a store that is away again
 * @reader: this daemon reads for the others
 * @tells: what the newest read brings is new to others: this daemon is the
 *	reader, or heard of none in time
 * @partial: peers' news leave out what only a reader needs
 * @whole_due: what is known lacks what others left out; a snapshot is due
 * @asked_ms: when the store was last asked
 * @asked_from: offset that the newest read began at; of a snapshot, up to which
 *	the topic was known before it
 * @fed_ms: loop time as of which peers' news were complete
 * @timer: the pause
 * @next: offset of the next record
 * @synced: a snapshot was complete once
 * @seen: keys of the snapshot being read; NULL while tailing
 * @after: last key of the page before
 * @snapshot_end: where the topic ended at the first page
 * @proof_ms: the state is known as of this loop time; 0 for never
 * @failures: calls in a row without a good answer
 * @regained_ms: loop time at which it answered again; 0 for never lost
 * @held: no calls yet: what is known may come from a peer
 * @stopped: no more calls
 */
struct dir_follow {
	struct store *store;
	uv_loop_t *loop;
	enum store_topic topic;
	const struct dir_follow_ops *ops;
	void *owner;
	unsigned pause_ms;
	unsigned fallback_ms;
	bool led;
	bool reader;
	bool tells;
	bool partial;
	bool whole_due;
	uint64_t asked_ms;
	uint64_t asked_from;
	uint64_t fed_ms;
	uv_timer_t timer;
	uint64_t next;
	bool synced;
	bool busy;
	GHashTable *seen;
	char *after;
	uint64_t snapshot_end;
	uint64_t proof_ms;
	unsigned failures;
	uint64_t regained_ms;
	bool held;
	bool stopped;
};

void dir_follow_init(struct dir_follow *, struct store *, uv_loop_t *,
    enum store_topic, const struct dir_follow_ops *, void *);
void dir_follow_start(struct dir_follow *);
void dir_follow_hold(struct dir_follow *);
void dir_follow_release(struct dir_follow *);
void dir_follow_again(struct dir_follow *);
void dir_follow_adopt(struct dir_follow *, uint64_t, uint64_t);
void dir_follow_stop(struct dir_follow *);
void dir_follow_hurry(struct dir_follow *);
bool dir_follow_feed(struct dir_follow *, uint64_t, uint64_t, const GArray *);
void dir_follow_skip(struct dir_follow *, uint64_t);
void dir_follow_fed(struct dir_follow *, uint64_t);
void dir_follow_set_reader(struct dir_follow *, bool);
bool dir_follow_complete(const struct dir_follow *);
bool dir_follow_overtaken(const struct dir_follow *);
uint64_t dir_follow_age(const struct dir_follow *, uint64_t);

#endif
