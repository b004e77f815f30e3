/* Scripts on estimates for endpoints, their choice, and admission. */
#include <string.h>

#include "endpoint-script.h"
#include "fwd-admission.h"
#include "fwd-drain-admit.h"

/* The workload that a command's prompt is for the engine. */
static struct fwd_workload
workload_of(const char *rest)
{
	struct fwd_workload workload = { .engine = endpoint_script.engine,
		.model = endpoint_script.model };

	workload.prompt = (double)script_number(rest, "prompt", 1000);
	workload.overhead_ms = endpoint_script.estimate.overhead_ms;
	workload.now_ms = script_number(rest, "at", 0);
	return (workload);
}

/* sent ID prompt=N at=MS: a prompt is sent to an endpoint; prints its mark */
void
endpoint_script_sent(const char *rest, GString *out)
{
	struct endpoint *ep = endpoint_script_find(rest);
	struct fwd_workload workload = workload_of(rest);
	double mark = fwd_backlog_add(&ep->backlog, workload.prompt,
	    fwd_expect_rate(ep, &workload), workload.now_ms);

	ep->pending += workload.prompt;
	g_string_append_printf(out, "mark %.0f\n", mark);
}

/* event ID mark=N prompt=N at=MS: the first event of a prompt arrives */
void
endpoint_script_event(const char *rest, GString *out)
{
	struct endpoint *ep = endpoint_script_find(rest);

	fwd_backlog_confirm(&ep->backlog,
	    (double)script_number(rest, "mark", 0),
	    script_number(rest, "at", 0));
	ep->pending -= (double)script_number(rest, "prompt", 0);
}

/* learn MS...: first events come this much later than the profile's estimate */
void
endpoint_script_learn(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", -1);

	for (char **w = words; *w != NULL; w++)
		fwd_estimate_add_first(&endpoint_script.estimate,
		    g_ascii_strtod(*w, NULL));
	g_string_append_printf(out, "%.0f\n",
	    endpoint_script.estimate.overhead_ms);
}

/* expect ID prompt=N at=MS: prefill backlog, and time to its first event */
void
endpoint_script_expect(const char *rest, GString *out)
{
	const struct endpoint *ep = endpoint_script_find(rest);
	struct fwd_workload workload = workload_of(rest);

	g_string_append_printf(out, "backlog %.0f first %.0f\n",
	    fwd_expect_backlog(ep, &workload), fwd_expect_first(ep, &workload));
}

static int
by_id(const void *a, const void *b)
{
	const struct endpoint *const *x = a;
	const struct endpoint *const *y = b;

	return (strcmp((*x)->report.id, (*y)->report.id));
}

/* Number of random draws of a choice, to see which endpoints can be chosen. */
#define DRAWS 400

/* The criteria of a request; they refer to the caller's array of tried
 * endpoints. */
static struct fwd_criteria
criteria_of(const char *rest, const struct fwd_tried *tried, unsigned n_tried,
    uint32_t i)
{
	struct fwd_criteria criteria = { .service = "s",
		.domain = "a",
		.prompt = 1000,
		.tried = tried,
		.n_tried = n_tried,
		.draw = i * 2654435761u };

	criteria.now_ms = script_number(rest, "at", 0);
	criteria.balance_domains = script_number(rest, "domains", 0) != 0;
	criteria.objective_ms = (double)script_number(rest, "objective", 0);
	criteria.probe_suspects = script_number(rest, "suspects", 0) != 0;
	criteria.may_wait = script_number(rest, "waits", 0) != 0;
	criteria.unseen.requests = (double)script_number(rest, "unseen", 0);
	criteria.unseen.age_ms = (double)script_number(rest, "age", 0);
	criteria.unseen.duration_ms =
	    (double)script_number(rest, "duration", 0);
	criteria.released_only = script_number(rest, "only", 0) != 0;
	criteria.heard_since_ms = script_number(rest, "heard", 0);
	if (script_number(rest, "model", 0) != 0) {
		criteria.engine = endpoint_script.engine;
		criteria.model = endpoint_script.model;
	}
	return (criteria);
}

/*
 * choose at=MS [model=1] [tried=ID,ID,...] [failed=MS] [active=ID]
 * [released=ID] [only=1] [heard=MS]: endpoints that are chosen in many draws.
 * Of those tried, one has the request now, and from one it was released; with
 * only=1 no other may be chosen; with heard=MS none that was not heard of since
 */
void
endpoint_script_choose(const char *rest, GString *out)
{
	g_autoptr(GPtrArray) seen = g_ptr_array_new();
	g_autofree char *word = script_word(rest, "tried");
	g_autofree char *active = script_word(rest, "active");
	g_autofree char *released = script_word(rest, "released");
	g_auto(GStrv) ids = g_strsplit(word != NULL ? word : "", ",", -1);
	struct fwd_tried tried[FWD_TRIED_MAX] = { 0 };
	unsigned n_tried = 0;
	struct fwd_choice choice = { 0 };

	for (; ids[n_tried] != NULL && n_tried < FWD_TRIED_MAX; n_tried++) {
		tried[n_tried].endpoint = endpoint_script_find(ids[n_tried]);
		tried[n_tried].failed_ms = script_number(rest, "failed", 0);
		tried[n_tried].active = g_strcmp0(ids[n_tried], active) == 0;
		tried[n_tried].released =
		    g_strcmp0(ids[n_tried], released) == 0;
	}
	for (uint32_t i = 0; i < DRAWS; i++) {
		struct fwd_criteria criteria =
		    criteria_of(rest, tried, n_tried, i);

		fwd_choose(&endpoint_script.fleet, &criteria, &choice);
		if (choice.endpoint != NULL &&
		    !g_ptr_array_find(seen, choice.endpoint, NULL))
			g_ptr_array_add(seen, choice.endpoint);
	}
	g_ptr_array_sort(seen, by_id);
	g_string_append_printf(out, "known %u usable %u:", choice.known,
	    choice.usable);
	for (guint i = 0; i < seen->len; i++)
		g_string_append_printf(out, " %s",
		    ((struct endpoint *)seen->pdata[i])->report.id);
	g_string_append_c(out, '\n');
}

/* count ID at=MS [model=1] [domains=1] [objective=MS] [unseen=N] [age=MS]
 * [duration=MS] [waits=1]: in how many of the draws
 * an endpoint is chosen */
void
endpoint_script_count(const char *rest, GString *out)
{
	struct fwd_choice choice;
	unsigned n = 0;

	for (uint32_t i = 0; i < DRAWS; i++) {
		struct fwd_criteria criteria = criteria_of(rest, NULL, 0, i);

		fwd_choose(&endpoint_script.fleet, &criteria, &choice);
		n += choice.endpoint == endpoint_script_find(rest);
	}
	g_string_append_printf(out, "%u of %u\n", n, DRAWS);
}

static const char *const verdicts[] = { "send", "queue", "refuse" };

/*
 * admit objective=MS [at=MS] [waited=MS] [left=MS] [sends=N] [resubmitted=1]
 * [started=1] [begun=1] [duration=MS] [ahead=N] [plain=1]: decision on a
 * request of 1,000 tokens
 */
void
endpoint_script_admit(const char *rest, GString *out)
{
	bool plain = script_number(rest, "plain", 0) != 0;
	struct fwd_workload workload = workload_of(rest);
	struct fwd_criteria criteria = { .service = "s",
		.engine = plain ? NULL : endpoint_script.engine,
		.model = plain ? NULL : endpoint_script.model,
		.prompt = workload.prompt,
		.domain = "a",
		.now_ms = workload.now_ms };
	struct fwd_admission a = { .criteria = &criteria };
	const struct endpoint *at;
	struct fwd_choice choice;
	enum fwd_admission_verdict verdict;

	criteria.overhead_ms = endpoint_script.estimate.overhead_ms;
	criteria.ahead = (unsigned)script_number(rest, "ahead", 0);
	fwd_choose(&endpoint_script.fleet, &criteria, &choice);
	a.choice = &choice;
	a.objective_ms = (double)script_number(rest, "objective", 300);
	a.waited_ms = (double)script_number(rest, "waited", 0);
	a.left_ms = (double)script_number(rest, "left", 6000);
	a.resubmitted = script_number(rest, "resubmitted", 0) != 0;
	a.sends = (unsigned)script_number(rest, "sends", 0);
	a.started = script_number(rest, "started", 0) != 0;
	a.begun = script_number(rest, "begun", 0) != 0;
	a.duration_ms = (double)script_number(rest, "duration", 800);
	a.ahead = (double)script_number(rest, "ahead", 0);
	a.draw = UINT32_MAX / 2;
	at = choice.endpoint != NULL ? choice.endpoint : choice.any_usable;
	if (at == NULL)
		at = choice.next_permit != NULL ? choice.next_permit :
						  choice.next_available;
	if (at != NULL)
		a.first_ms =
		    plain ? a.duration_ms : fwd_expect_first(at, &workload);
	verdict = fwd_admission_decide(&a);
	g_string_append(out, verdicts[verdict]);
	if (verdict == ADMIT_REFUSE)
		g_string_append_printf(out, " %lld",
		    (long long)fwd_admission_retry_ms(&a));
	g_string_append_c(out, '\n');
}

/* lasted MS...: requests ended after this time */
void
endpoint_script_lasted(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", -1);

	for (char **w = words; *w != NULL; w++)
		fwd_estimate_add_duration(&endpoint_script.estimate,
		    g_ascii_strtod(*w, NULL));
	g_string_append_printf(out, "%.0f\n",
	    fwd_estimate_longest(&endpoint_script.estimate));
}

/* fits left=MS deadline=MS [estimates=MS]: whether a request is sent by a
 * daemon that ends in that time, and must have its response by the deadline;
 * estimates count for so long, or until the end */
void
endpoint_script_fits(const char *rest, GString *out)
{
	double left = script_number(rest, "left", 0);
	const struct fwd_drain_window window = {
		.estimate_until_ms =
		    1000 + script_number(rest, "estimates", left + 1),
		.end_ms = 1000 + left,
	};
	const struct fwd_drain_request request = {
		.now_ms = 1000,
		.deadline_ms = 1000 + script_number(rest, "deadline", 0),
		.usual_ms = fwd_estimate_longest(&endpoint_script.estimate),
	};

	g_string_append(out,
	    fwd_drain_admits(&window, &request) ? "sent\n" : "ended\n");
}
