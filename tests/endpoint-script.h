/* Scripts on the endpoints that a daemon knows. */
#ifndef TESTS_ENDPOINT_SCRIPT_H
#define TESTS_ENDPOINT_SCRIPT_H

#include <string.h>

#include "fwd-exchange.h"
#include "registry.h"
#include "script.h"

/**
 * struct endpoint_script - what the commands of a script work on.
 * @fleet: the endpoints
 * @catalog: a configuration with one service, named "s"
 * @engine: engine of that service
 * @model: its model, named "m"
 * @estimate: what this daemon has learned of the model
 * @offset: store offset of the newest entry
 */
struct endpoint_script {
	struct fleet fleet;
	struct catalog *catalog;
	struct engine_profile *engine;
	struct model_profile *model;
	struct fwd_estimate estimate;
	uint64_t offset;
};

extern struct endpoint_script endpoint_script;

/* Finds an endpoint by its id, the first of a command's words. */
static inline struct endpoint *
endpoint_script_find(const char *words)
{
	g_autofree char *id = g_strndup(words, strcspn(words, " "));

	return (fleet_find(&endpoint_script.fleet, id));
}

/* endpoint-script-limits.c */
void endpoint_script_backoff(const char *, GString *);
void endpoint_script_limit(const char *, GString *);
void endpoint_script_unlimited(const char *, GString *);
void endpoint_script_merge(const char *, GString *);
void endpoint_script_permit(const char *, GString *);
void endpoint_script_return(const char *, GString *);
void endpoint_script_refused(const char *, GString *);
void endpoint_script_accepted(const char *, GString *);
void endpoint_script_probe(const char *, GString *);
void endpoint_script_probed(const char *, GString *);
void endpoint_script_drain(const char *, GString *);
void endpoint_script_silent(const char *, GString *);
void endpoint_script_heard(const char *, GString *);
void endpoint_script_connect(const char *, GString *);

/* endpoint-script-choice.c */
void endpoint_script_sent(const char *, GString *);
void endpoint_script_event(const char *, GString *);
void endpoint_script_learn(const char *, GString *);
void endpoint_script_expect(const char *, GString *);
void endpoint_script_choose(const char *, GString *);
void endpoint_script_count(const char *, GString *);
void endpoint_script_admit(const char *, GString *);
void endpoint_script_lasted(const char *, GString *);
void endpoint_script_fits(const char *, GString *);

#endif
