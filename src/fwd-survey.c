/* Survey of the endpoints of a service: whether most of them are silent. */
#include <string.h>

#include "event-log.h"
#include "fwd-exchange.h"
#include "fwd-survey.h"

/* An endpoint counts as silent from this part of its timeout on: the others
 * whose silence began at the same time have not been found yet. */
#define SILENT_PART 0.5
/* Silence of fewer endpoints is not taken as shared: a request that silences
 * endpoints is with two at once. */
#define SHARED_MIN 3
/* Silence counts as shared for this time after it was found to be: when a pause
 * ends, some endpoints are heard of before the others. */
#define SHARED_HOLD_MS 300
/* A survey holds for this time. */
#define SURVEY_MS 20

/**
 * fwd_survey_judge() - whether silence is shared by most endpoints.
 * @survey: the survey
 */
bool
fwd_survey_judge(const struct fwd_survey *survey)
{
	return (survey->silent >= SHARED_MIN &&
	    2 * survey->silent > survey->waiting);
}

/* Whether a byte of the response is expected by now. */
static bool
send_is_due(const struct fwd_send *send, uint64_t now_ms)
{
	if (!send->in_backlog)
		return (true);
	return ((double)(now_ms - MIN(send->basis.sent_ms, now_ms)) >
	    send->basis.silence_ms);
}

/* Adds the endpoint of a send, unless it was added before. */
static void
survey_add(struct fwd_survey *survey, GHashTable *seen,
    const struct fwd_send *send, uint64_t now_ms)
{
	if (!send->conn->connected || send->path_doubted || send->paused ||
	    !send_is_due(send, now_ms) ||
	    !g_hash_table_add(seen, send->endpoint))
		return;
	survey->waiting++;
	survey->silent += fwd_silence_part(send, now_ms) >= SILENT_PART;
}

/* Counts the endpoints of a service. */
static void
survey_count(const struct fwd *fwd, const char *service, uint64_t now_ms,
    struct fwd_survey *survey)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
	const struct fwd_exchange *ex;
	const struct fwd_send *send;

	survey->waiting = 0;
	survey->silent = 0;
	TAILQ_FOREACH(ex, &fwd->exchanges, entry) {
		if (ex->service == NULL || strcmp(ex->service, service) != 0)
			continue;
		TAILQ_FOREACH(send, &ex->active, entry)
			survey_add(survey, seen, send, now_ms);
	}
}

/* Takes a survey of a service; logs if its silence has become shared. */
static void
survey_take(struct fwd *fwd, const char *service, uint64_t now_ms,
    struct fwd_survey *survey)
{
	bool shared = now_ms < survey->shared_until_ms;

	survey_count(fwd, service, now_ms, survey);
	survey->taken_ms = now_ms;
	if (!fwd_survey_judge(survey))
		return;
	survey->shared_until_ms = now_ms + SHARED_HOLD_MS;
	if (shared)
		return;
	fwd_stats_count(&fwd->stats, COUNT_SHARED_SILENCES);
	event_log(LOG_NOTICE, "silence_shared",
	    "service=%s silent=%u waiting=%u", service, survey->silent,
	    survey->waiting);
}

/* Finds or creates the survey of a service. */
static struct fwd_survey *
survey_get(struct fwd *fwd, const char *service)
{
	struct fwd_survey *survey = g_hash_table_lookup(fwd->surveys, service);

	if (survey == NULL) {
		survey = g_new0(struct fwd_survey, 1);
		g_hash_table_insert(fwd->surveys, g_strdup(service), survey);
	}
	return (survey);
}

/**
 * fwd_survey_is_shared() - whether the silence of an endpoint is shared by most
 *	endpoints of its service that this daemon waits for.
 * @send: a send to the endpoint
 * @now_ms: loop time
 */
bool
fwd_survey_is_shared(const struct fwd_send *send, uint64_t now_ms)
{
	struct fwd *fwd = send->exchange->fwd;
	const char *service = send->exchange->service;
	struct fwd_survey *survey = survey_get(fwd, service);

	if (survey->taken_ms == 0 || now_ms - survey->taken_ms >= SURVEY_MS)
		survey_take(fwd, service, now_ms, survey);
	return (now_ms < survey->shared_until_ms);
}
