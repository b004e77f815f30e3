/* Reports of endpoints about themselves. */
#ifndef BL_REGISTRY_REPORT_H
#define BL_REGISTRY_REPORT_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum group_state - state of an endpoint in its group, as it reports it.
 * @GROUP_NONE: it is in no group
 * @GROUP_JOINING: it is loading the model
 * @GROUP_READY: it has loaded the model; if it is the head, it may be opened
 * @GROUP_OPEN: it is the head and serves requests
 * @GROUP_CLOSING: it is the head and finishes the requests it has
 * @GROUP_BROKEN: it is the head and has lost a member
 */
enum group_state {
	GROUP_NONE,
	GROUP_JOINING,
	GROUP_READY,
	GROUP_OPEN,
	GROUP_CLOSING,
	GROUP_BROKEN,
};

/**
 * struct endpoint_report - state of an endpoint, as it reports it.
 * @id: the endpoint's id
 * @service: name of its service
 * @address: address that it listens on
 * @domain: its failure domain
 * @fabric: its fabric domain
 * @slots: concurrent requests that it takes
 * @draining: it is draining: it completes what it has and accepts nothing new
 * @cold_ms: how much longer it tolerates few requests after its start, in ms
 * @staged: names of the models that its host has a local copy of
 * @model: name of the model that it serves, or NULL
 * @group: name of its group, or NULL
 * @epoch: epoch of the group
 * @rank: its rank in the group; 0 is the head
 * @state: its state in the group
 * @sequence: number of orders accepted since its start
 * @started_ms: time of day of its start, in ms; 0 if not reported
 * @pace: factor on its service times, above 1 when slow; 0 if not known
 */
struct endpoint_report {
	char *id;
	char *service;
	struct sockaddr_in address;
	char *domain;
	char *fabric;
	unsigned slots;
	bool draining;
	uint64_t cold_ms;
	GPtrArray *staged;
	char *model;
	char *group;
	int64_t epoch;
	int rank;
	enum group_state state;
	int64_t sequence;
	int64_t started_ms;
	double pace;
};

/**
 * enum incarnation - which incarnation of an endpoint a report is from,
 * relative to the known one.
 * @INCARNATION_SAME: the known one
 * @INCARNATION_NEWER: one that started later under the same id
 * @INCARNATION_OLDER: one that had ended before the known one started
 */
enum incarnation {
	INCARNATION_SAME,
	INCARNATION_NEWER,
	INCARNATION_OLDER,
};

void endpoint_report_clear(struct endpoint_report *);
const char *group_state_name(enum group_state);
bool endpoint_report_serves(const struct endpoint_report *, bool);
enum incarnation incarnation_compare(const struct endpoint_report *,
    const struct endpoint_report *);
bool endpoint_report_differs(const struct endpoint_report *,
    const struct endpoint_report *);

#endif
