/* Admission to one deployment: threads wait here for their slot. */
#ifndef BL_ADMISSION_H
#define BL_ADMISSION_H

#include <glib.h>
#include <stdatomic.h>

#include "fair-queue.h"

/**
 * struct admission - the queue of one deployment at this daemon.
 * @references: freed when it drops to 0
 * @name: name of the deployment
 * @lock: guards @queue
 * @granted: signalled when a slot was granted
 * @queue: the queue
 */
struct admission {
	atomic_uint references;
	char *name;
	GMutex lock;
	GCond granted;
	struct fair_queue queue;
};

struct admission *admission_create(const char *);
struct admission *admission_ref(struct admission *);
void admission_unref(struct admission *);
void admission_set_slots(struct admission *, unsigned);
enum fair_verdict admission_acquire(struct admission *, struct fair_ticket *,
    struct fair_flow *, uint64_t *);
void admission_release(struct admission *, uint64_t);

#endif
