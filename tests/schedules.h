/* Three daemons, eight hosts and one log, which random schedules of faults are
 * run on. */
#ifndef TESTS_SCHEDULES_H
#define TESTS_SCHEDULES_H

#include "claim-index.h"
#include "group.h"
#include "lease-elector.h"
#include "lease.h"
#include "view.h"

#define DAEMONS 3
#define HOSTS 8
#define IDS 6
#define EVIDENCE_MS 2500
#define DEAD_MS 5000
#define DELAYED_MAX 64

/* The actual state of a host. */
struct real_host {
	bool alive;
	bool checks_fence;
	uint64_t epoch;
	uint64_t fence;
	uint64_t ready_ms;
	/* When it was last ready at @ready_epoch, to check the evidence. */
	uint64_t ready_epoch;
	uint64_t ready_seen_ms;
};

/* A simulated daemon. */
struct sim_daemon {
	char name[8];
	bool paused;
	bool log_cut;
	bool host_cut[HOSTS];
	struct state *state;
	struct lease_elector elector;
	struct inventory inv;
	struct view_tables tables;
	struct view *view;
	struct claim_index claims;
	char *token[IDS];
	uint64_t claim_offset[IDS];
};

/* An append or an order that takes effect later. */
struct delayed {
	uint64_t at_ms;
	json_t *config;
	json_t *claim;
	int host;
	bool join;
	uint64_t epoch;
};

/* The whole simulation. */
struct schedules {
	struct sim_daemon daemons[DAEMONS];
	struct real_host hosts[HOSTS];
	GPtrArray *config_log;
	GPtrArray *claim_log;
	struct delayed delayed[DELAYED_MAX];
	int n_delayed;
	unsigned runs[IDS];
	uint64_t now;
	uint64_t rng;
	uint64_t dispatched;
	uint64_t granted;
	uint64_t longest_log;
	const char *violation;
};

extern struct schedules sim;
extern const struct lease_times schedules_times;

/* schedules-world.c: hosts, and what happens to orders and appends. */
uint64_t schedules_random(uint64_t);
void record_violation(const char *);
struct delayed *delayed_add(uint64_t);
uint64_t sim_append(struct sim_daemon *, GPtrArray *, json_t *);
void host_order(int, bool, uint64_t);
void delayed_deliver(void);
void hosts_record_ready(void);

/* schedules-daemon.c: the daemons. */
void daemon_step(struct sim_daemon *);

#endif
