/* Levels of the proxy: one for each service and model with requests. */
#ifndef BL_FWD_LEVEL_H
#define BL_FWD_LEVEL_H

#include <glib.h>
#include <sys/queue.h>

#include "overload-level.h"

struct fwd;
struct fwd_exchange;
struct fwd_choice;
struct fwd_admission;

/**
 * struct fwd_level - level of a service and model.
 * @service: name of the service
 * @model: name of the model, or NULL
 * @level: the level
 * @objective_ms: strictest objective of its requests under configuration
 *	@version
 * @version: version of that configuration
 * @asked_per_s: first attempts per second at all daemons, as of the last update
 * @served_per_s: requests per second that can be served in time
 * @due: clients that all daemons have told to return and that are not due yet,
 *	by priority
 * @used_ms: loop time of the last request
 * @logged: value of the level in the last log line
 * @logged_ms: loop time of that line
 * @entry: link in the proxy's list
 */
struct fwd_level {
	char *service;
	char *model;
	struct overload_level level;
	double objective_ms;
	int64_t version;
	double asked_per_s;
	double served_per_s;
	double due[FWD_PRIORITIES];
	uint64_t used_ms;
	double logged;
	uint64_t logged_ms;
	TAILQ_ENTRY(fwd_level) entry;
};

TAILQ_HEAD(fwd_level_list, fwd_level);

void fwd_level_note(struct fwd_exchange *);
bool fwd_level_refuses(const struct fwd_exchange *, const struct fwd_choice *);
int64_t fwd_level_retry_ms(const struct fwd_exchange *,
    const struct fwd_admission *);
void fwd_level_update_all(struct fwd *, uint64_t);
void fwd_level_print(const struct fwd *, GString *);

#endif
