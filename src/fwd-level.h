/* Levels of the proxy: one for each service and model with requests. */
#ifndef BL_FWD_LEVEL_H
#define BL_FWD_LEVEL_H

#include <glib.h>
#include <sys/queue.h>

#include "overload-level.h"
#include "overload-share.h"

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
 * @share: what the customers ask of the service, while requests are refused
 * @share_logged_ms: loop time at which a customer with an excess was logged
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
	struct overload_share share;
	uint64_t share_logged_ms;
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
bool fwd_level_first(const struct fwd *, const struct fwd_level *);
void fwd_level_update_all(struct fwd *, uint64_t);
void fwd_level_print(const struct fwd *, GString *);

/* fwd-share.c: shares of customers. */
void fwd_share_update(const struct fwd *, struct fwd_level *, uint64_t);
double fwd_share_fraction(const struct fwd_exchange *, const struct fwd_level *,
    double);
void fwd_share_print(const struct fwd *, GString *);

#endif
