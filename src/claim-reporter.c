/* Records finishes and releases of claims in the background. */
#include <sys/queue.h>

#include <glib.h>
#include <string.h>

#include "claim-reporter.h"
#include "clock.h"
#include "event-log.h"

/* How long recording a finish or a release is retried. */
#define REPORT_TIMEOUT_MS 60000
/* Pause after a failed attempt to record a finish or a release. */
#define REPORT_RETRY_MS 200
/* Largest number of finishes and releases that wait to be recorded. */
#define REPORTS_MAX 10000

/* A finish or release that is still to be recorded. */
struct report {
	struct claim_request req;
	uint64_t until_ms;
	TAILQ_ENTRY(report) entry;
};

TAILQ_HEAD(report_list, report);

/*
 * The thread that records reports, by a function that is called with arg; lock
 * protects the fields after it.
 */
struct claim_reporter {
	claim_record_fn *record;
	void *arg;
	GThread *thread;
	GMutex lock;
	GCond work;
	bool stopping;
	struct report_list reports;
	unsigned n_reports;
};

static void
report_free(struct report *report)
{
	g_free(report->req.item.id);
	g_free(report->req.item.token);
	g_free(report->req.item.body.body_val);
	g_free(report);
}

/* Takes the next report; waits for one. NULL when the daemon stops. */
static struct report *
reporter_take(struct claim_reporter *r)
{
	struct report *report;

	g_mutex_lock(&r->lock);
	while (TAILQ_EMPTY(&r->reports) && !r->stopping)
		g_cond_wait(&r->work, &r->lock);
	report = TAILQ_FIRST(&r->reports);
	if (report != NULL) {
		TAILQ_REMOVE(&r->reports, report, entry);
		r->n_reports--;
	}
	g_mutex_unlock(&r->lock);
	return (report);
}

/*
 * Puts a report that was not recorded back at the end of the queue, unless it
 * has timed out. Returns false if the daemon is stopping: without the log, the
 * other reports would fail as well.
 */
static bool
reporter_requeue(struct claim_reporter *r, struct report *report)
{
	bool requeued, stopping;

	g_mutex_lock(&r->lock);
	stopping = r->stopping;
	requeued = !stopping && clock_now_ms() < report->until_ms;
	if (requeued) {
		TAILQ_INSERT_TAIL(&r->reports, report, entry);
		r->n_reports++;
	}
	g_mutex_unlock(&r->lock);
	if (!requeued) {
		event_log(LOG_WARNING, "claim_report_given_up", "op=%u",
		    report->req.item.op);
		report_free(report);
	}
	if (!stopping)
		g_usleep(REPORT_RETRY_MS * 1000);
	return (!stopping);
}

static void *
reporter_run(void *arg)
{
	struct claim_reporter *r = arg;
	struct report *report;

	while ((report = reporter_take(r)) != NULL) {
		if (r->record(r->arg, &report->req))
			report_free(report);
		else if (!reporter_requeue(r, report))
			break;
	}
	return (NULL);
}

/**
 * claim_reporter_create() - start the thread that records reports.
 * @record: sends a report once; called by that thread
 * @arg: passed to @record
 *
 * Return: the reporter, to be freed by claim_reporter_free().
 */
struct claim_reporter *
claim_reporter_create(claim_record_fn *record, void *arg)
{
	struct claim_reporter *r = g_new0(struct claim_reporter, 1);

	r->record = record;
	r->arg = arg;
	g_mutex_init(&r->lock);
	g_cond_init(&r->work);
	TAILQ_INIT(&r->reports);
	r->thread = g_thread_new("reporter", reporter_run, r);
	return (r);
}

/**
 * claim_reporter_free() - try once more to record the pending reports, and
 * free.
 * @r: the reporter
 */
void
claim_reporter_free(struct claim_reporter *r)
{
	struct report *report;

	g_mutex_lock(&r->lock);
	r->stopping = true;
	g_cond_signal(&r->work);
	g_mutex_unlock(&r->lock);
	g_thread_join(r->thread);
	while ((report = TAILQ_FIRST(&r->reports)) != NULL) {
		TAILQ_REMOVE(&r->reports, report, entry);
		report_free(report);
	}
	g_mutex_clear(&r->lock);
	g_cond_clear(&r->work);
	g_free(r);
}

/**
 * claim_reporter_add() - record a finish or a release, in the background.
 * @r: the reporter
 * @kind: CLAIM_OP_FINISH or CLAIM_OP_RELEASE
 * @id: customer and request id
 * @token: token of the attempt
 * @status: HTTP status of the response, for CLAIM_OP_FINISH
 * @body: body of the response, or NULL; dropped if longer than CLAIM_BODY_MAX
 *	bytes
 */
void
claim_reporter_add(struct claim_reporter *r, enum claim_op_kind kind,
    const char *id, const char *token, int status, const char *body)
{
	size_t len = body != NULL ? strlen(body) : 0;
	struct report *report;

	report = g_new0(struct report, 1);
	report->until_ms = clock_now_ms() + REPORT_TIMEOUT_MS;
	report->req.item.op = kind;
	report->req.item.id = g_strdup(id);
	report->req.item.token = g_strdup(token);
	report->req.item.status = status;
	if (len > 0 && len <= CLAIM_BODY_MAX) {
		report->req.item.body.body_val = g_strdup(body);
		report->req.item.body.body_len = (unsigned)len;
	}
	g_mutex_lock(&r->lock);
	if (r->n_reports < REPORTS_MAX) {
		TAILQ_INSERT_TAIL(&r->reports, report, entry);
		r->n_reports++;
		report = NULL;
		g_cond_signal(&r->work);
	}
	g_mutex_unlock(&r->lock);
	if (report != NULL) {
		event_log(LOG_WARNING, "claim_report_dropped", "op=%d", kind);
		report_free(report);
	}
}
