/* Scripts over endpoints that come, go and lapse, and the choice of one. */
#include <math.h>
#include <string.h>

#include "registry.h"
#include "fwd-admission.h"
#include "script.h"

static uv_loop_t loop;
static struct fleet fleet;
static struct catalog *catalog;
static struct engine_profile *engine;
static struct model_profile *model;
static struct fwd_estimate learned;
static uint64_t offset;

static void
reset(void)
{
	if (fleet.by_id != NULL)
		fleet_clear(&fleet);
	fleet_init(&fleet, &loop);
	g_clear_pointer(&catalog, catalog_unref);
	catalog = catalog_create();
	engine = catalog_add_engine(catalog_add_service(catalog, "s"));
	engine->slots = 8;
	engine->step_ms = 6;
	engine->per_seq_ms = 0.25;
	engine->prefill_per_ms = 46;
	engine->stride = 5;
	model = g_new0(struct model_profile, 1);
	model->name = g_strdup("m");
	model->size = 2;
	model->pace = 1;
	model->warm_ms = 1200;
	engine->form_ms = 300;
	g_ptr_array_add(engine->models, model);
	memset(&learned, 0, sizeof learned);
	offset = 0;
}

/*
 * entry ID at=MS [state=draining] [domain=D] [head=1] [started=MS]
 * [sequence=N]: a report was read
 */
static void
exec_entry(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	g_autofree char *state = script_word(rest, "state");
	struct endpoint_report report = { 0 };

	report.id = g_strdup(id);
	report.service = g_strdup("s");
	report.domain = script_word(rest, "domain");
	report.slots = 4;
	report.started_ms = (int64_t)script_number(rest, "started", 0);
	report.sequence = (int64_t)script_number(rest, "sequence", 0);
	report.draining = g_strcmp0(state, "draining") == 0;
	report.staged = g_ptr_array_new_with_free_func(g_free);
	if (script_number(rest, "head", 0) != 0) {
		report.model = g_strdup("m");
		report.group = g_strdup("g");
		report.state = GROUP_OPEN;
	}
	fleet_update(&fleet, &report, ++offset, script_number(rest, "at", 0));
}

/* lapse ID at=MS [away=1]: the entry was removed; while the store was away */
static void
exec_lapse(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_lapse(&fleet, id, script_number(rest, "at", 0),
	    script_number(rest, "away", 0) != 0);
}

/* unreadable ID at=MS: an entry that can't be read was found in its place */
static void
exec_unreadable(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_mark_unreadable(&fleet, id, ++offset,
	    script_number(rest, "at", 0));
}

/* hold ID or drop N: an exchange begins at an endpoint; one ends at the Nth */
static void
exec_hold(const char *rest, GString *out)
{
	fleet_find(&fleet, rest)->refs++;
}

static void
exec_drop(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);
	struct endpoint *ep = TAILQ_FIRST(&fleet.endpoints);

	while (n-- > 1)
		ep = TAILQ_NEXT(ep, entry);
	ep->refs--;
}

/* sweep at=MS [take=0]: 0 while lapsed entries may still come back */
static void
exec_sweep(const char *rest, GString *out)
{
	fleet_sweep(&fleet, script_number(rest, "at", 0),
	    script_number(rest, "take", 1) != 0);
}

/* elsewhere ID: another incarnation answered at its address */
static void
exec_elsewhere(const char *rest, GString *out)
{
	endpoint_mark_gone(fleet_find(&fleet, rest));
}

/* show at=MS: each endpoint, and whether new work may go there */
static void
exec_show(const char *rest, GString *out)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &fleet.endpoints, entry)
		g_string_append_printf(out, "%s %s\n", ep->report.id,
		    endpoint_usable(ep, script_number(rest, "at", 0)) ?
			"usable" :
			"not");
}

/* memory ID: the model that an endpoint has in memory */
static void
exec_memory(const char *rest, GString *out)
{
	const struct endpoint *ep = fleet_find(&fleet, rest);

	g_string_append_printf(out, "%s\n",
	    ep->loaded_model != NULL ? ep->loaded_model : "none");
}

/* load ID own=N peers=N pending=N rest=MS errors=PERCENT slow=PERCENT */
static void
exec_load(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint *ep = fleet_find(&fleet, id);

	ep->inflight = (unsigned)script_number(rest, "own", 0);
	ep->peer_inflight = (unsigned)script_number(rest, "peers", 0);
	ep->peer_pending = (double)script_number(rest, "pending", 0);
	ep->cooldown_until_ms = script_number(rest, "rest", 0);
	ep->error_rate = (double)script_number(rest, "errors", 0) / 100;
	ep->slowness = (double)script_number(rest, "slow", 100) / 100;
}

/* rest ID asked=MS at=MS: an endpoint asks this daemon for rest */
static void
exec_rest(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	g_autofree char *asked = script_word(rest, "asked");
	struct endpoint *ep = fleet_find(&fleet, id);
	uint64_t ms = endpoint_backoff_normalize(g_ascii_strtod(asked, NULL),
	    script_number(rest, "most", 300000));

	endpoint_backoff_extend(&ep->backoff, ms, script_number(rest, "at", 0));
	g_string_append_printf(out, "until %llu\n",
	    (unsigned long long)ep->backoff.until_ms);
}

/*
 * limit ID names=PER_S at=MS [share=MILLI]: an endpoint names a limit; and this
 * daemon's share, in thousandths of a request a second
 */
static void
exec_limit(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	g_autofree char *names = script_word(rest, "names");
	struct endpoint_limit *limit = &fleet_find(&fleet, id)->limit;
	uint64_t now = script_number(rest, "at", 0);
	double per_s =
	    endpoint_limit_normalize(g_ascii_strtod(names, NULL), limit);
	bool news = endpoint_limit_set(limit, per_s, now);
	uint64_t share = script_number(rest, "share", 0);

	if (share > 0 && limit->share_per_s == 0)
		endpoint_limit_init_permits(limit, 0, now);
	endpoint_limit_set_share(limit, (double)share / 1000, now);
	g_string_append_printf(out, "%s, %g a second\n",
	    news ? "news" : "no news", limit->per_s);
}

/* unlimited ID sent=MS at=MS: an answer to a request names no limit */
static void
exec_unlimited(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint_limit *limit = &fleet_find(&fleet, id)->limit;

	if (endpoint_limit_superseded(limit, script_number(rest, "sent", 0)))
		endpoint_limit_clear(limit, script_number(rest, "at", 0));
	g_string_append(out, limit->active ? "holds\n" : "none\n");
}

/* told ID names=PER_S since=MS at=MS: another daemon tells of a limit, or none
 */
static void
exec_told(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	g_autofree char *names = script_word(rest, "names");
	struct endpoint_limit *limit = &fleet_find(&fleet, id)->limit;
	double per_s =
	    strcmp(names, "none") == 0 ? INFINITY : g_ascii_strtod(names, NULL);
	bool news = endpoint_limit_merge(limit, per_s,
	    script_number(rest, "since", 0), script_number(rest, "at", 0));

	g_string_append_printf(out, "%s, ", news ? "news" : "no news");
	if (limit->active)
		g_string_append_printf(out, "%g a second\n", limit->per_s);
	else
		g_string_append(out, "none\n");
}

/* turn ID at=MS [ahead=N] [take=1]: time until a turn; which is taken */
static void
exec_turn(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint_limit *limit = &fleet_find(&fleet, id)->limit;
	uint64_t now = script_number(rest, "at", 0);

	g_string_append_printf(out, "%.0f ms\n",
	    endpoint_limit_wait_ms(limit,
		(unsigned)script_number(rest, "ahead", 0), now));
	if (script_number(rest, "take", 0) != 0 &&
	    !endpoint_limit_take_permit(limit, now))
		g_string_append(out, "over the share\n");
}

/* back ID: nothing of a request that took a turn was sent */
static void
exec_back(const char *rest, GString *out)
{
	endpoint_limit_return_permit(&fleet_find(&fleet, rest)->limit);
}

/* refused ID at=MS: an endpoint turns a request away and asks for no rest */
static void
exec_refused(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint *ep = fleet_find(&fleet, id);
	uint64_t ms = endpoint_backoff_refused(&ep->backoff);

	ep->cooldown_until_ms = script_number(rest, "at", 0) + ms;
	g_string_append_printf(out, "rests %llu\n", (unsigned long long)ms);
}

/* taken ID: it answers one that it did not turn away */
static void
exec_taken(const char *rest, GString *out)
{
	endpoint_backoff_accepted(&fleet_find(&fleet, rest)->backoff);
}

/* probe ID: a request goes to an endpoint that rested */
static void
exec_probe(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	bool probe =
	    endpoint_backoff_begin_probe(&fleet_find(&fleet, id)->backoff);

	g_string_append(out, probe ? "probe\n" : "no probe\n");
}

/* probed ID taken=0|1: and is over */
static void
exec_probed(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	endpoint_backoff_end_probe(&fleet_find(&fleet, id)->backoff,
	    script_number(rest, "taken", 0) != 0);
}

/* leave ID: an endpoint says in an answer that it leaves */
static void
exec_leave(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_find(&fleet, id)->draining = true;
}

/* The work of a prompt for the engine. */
static struct fwd_workload
work_of(const char *rest)
{
	struct fwd_workload work = { .engine = engine, .model = model };

	work.prompt = (double)script_number(rest, "prompt", 1000);
	work.overhead_ms = learned.overhead_ms;
	work.now_ms = script_number(rest, "at", 0);
	return (work);
}

/*
 * given [configured=1]: endpoints whose entries, all read before there was a
 * configuration, are given to a daemon that starts
 */
static void
exec_given(const char *rest, GString *out)
{
	struct registry registry = { .fleet = fleet };
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	struct endpoint *ep;

	g_array_set_clear_func(records, store_record_clear);
	TAILQ_FOREACH(ep, &fleet.endpoints, entry)
		endpoint_set_entry(ep, false, "x", 1);
	if (script_number(rest, "configured", 0) != 0)
		registry.catalog = catalog;
	registry_get_snapshot(&registry, records);
	for (guint i = 0; i < records->len; i++)
		g_string_append_printf(out, "%s\n",
		    g_array_index(records, struct store_record, i).key);
	g_string_append_printf(out, "%u given\n", records->len);
}

/* sent ID prompt=N at=MS: a prompt was sent there; prints its mark */
static void
exec_sent(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint *ep = fleet_find(&fleet, id);
	struct fwd_workload work = work_of(rest);
	double mark = fwd_backlog_add(&ep->backlog, work.prompt,
	    fwd_expect_rate(ep, &work), work.now_ms);

	ep->pending += work.prompt;
	g_string_append_printf(out, "mark %.0f\n", mark);
}

/* event ID mark=N prompt=N at=MS: the first event of a prompt came */
static void
exec_event(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint *ep = fleet_find(&fleet, id);

	fwd_backlog_confirm(&ep->backlog,
	    (double)script_number(rest, "mark", 0),
	    script_number(rest, "at", 0));
	ep->pending -= (double)script_number(rest, "prompt", 0);
}

/* learn MS...: first events came so much later than the profile says */
static void
exec_learn(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", -1);

	for (char **w = words; *w != NULL; w++)
		fwd_estimate_add_first(&learned, g_ascii_strtod(*w, NULL));
	g_string_append_printf(out, "%.0f\n", learned.overhead_ms);
}

/* expect ID prompt=N at=MS: what is left to read, and its first event */
static void
exec_expect(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	const struct endpoint *ep = fleet_find(&fleet, id);
	struct fwd_workload work = work_of(rest);

	g_string_append_printf(out, "left %.0f first %.0f\n",
	    fwd_expect_backlog(ep, &work), fwd_expect_first(ep, &work));
}

static int
by_id(const void *a, const void *b)
{
	const struct endpoint *const *x = a;
	const struct endpoint *const *y = b;

	return (strcmp((*x)->report.id, (*y)->report.id));
}

/* Draws for which a request is chosen for, to see who is ever chosen. */
#define DRAWS 400

/* What a request wants at a time; the tried endpoints are the caller's. */
static struct fwd_criteria
want_of(const char *rest, const struct fwd_tried *tried, unsigned n_tried,
    uint32_t i)
{
	struct fwd_criteria want = { .service = "s",
		.domain = "a",
		.prompt = 1000,
		.tried = tried,
		.n_tried = n_tried,
		.draw = i * 2654435761u };

	want.now_ms = script_number(rest, "at", 0);
	if (script_number(rest, "model", 0) != 0) {
		want.engine = engine;
		want.model = model;
	}
	return (want);
}

/*
 * choose at=MS [model=1] [tried=ID,ID,...] [failed=MS]: over many draws, who
 * is ever chosen
 */
static void
exec_choose(const char *rest, GString *out)
{
	g_autoptr(GPtrArray) seen = g_ptr_array_new();
	g_autofree char *word = script_word(rest, "tried");
	g_auto(GStrv) ids = g_strsplit(word != NULL ? word : "", ",", -1);
	struct fwd_tried tried[FWD_TRIED_MAX] = { 0 };
	unsigned n_tried = 0;
	struct fwd_choice choice = { 0 };

	for (; ids[n_tried] != NULL && n_tried < FWD_TRIED_MAX; n_tried++) {
		tried[n_tried].endpoint = fleet_find(&fleet, ids[n_tried]);
		tried[n_tried].failed_ms = script_number(rest, "failed", 0);
	}
	for (uint32_t i = 0; i < DRAWS; i++) {
		struct fwd_criteria want = want_of(rest, tried, n_tried, i);

		fwd_choose(&fleet, &want, &choice);
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

/* count ID at=MS [model=1]: of many draws, how many choose an endpoint */
static void
exec_count(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct fwd_choice choice;
	unsigned n = 0;

	for (uint32_t i = 0; i < DRAWS; i++) {
		struct fwd_criteria want = want_of(rest, NULL, 0, i);

		fwd_choose(&fleet, &want, &choice);
		n += choice.endpoint == fleet_find(&fleet, id);
	}
	g_string_append_printf(out, "%u of %u\n", n, DRAWS);
}

static const char *const verdicts[] = { "send", "wait", "refuse" };

/*
 * admit objective=MS [at=MS] [waited=MS] [left=MS] [sends=N] [returned=1]
 * [begun=1] [whole=MS] [ahead=N] [plain=1]: what becomes of a request of 1,000
 * tokens
 */
static void
exec_admit(const char *rest, GString *out)
{
	bool plain = script_number(rest, "plain", 0) != 0;
	struct fwd_workload work = work_of(rest);
	struct fwd_criteria want = { .service = "s",
		.engine = plain ? NULL : engine,
		.model = plain ? NULL : model,
		.prompt = work.prompt,
		.domain = "a",
		.now_ms = work.now_ms };
	struct fwd_admission a = { .criteria = &want };
	const struct endpoint *at;
	struct fwd_choice choice;
	enum fwd_admission_verdict verdict;

	want.overhead_ms = learned.overhead_ms;
	want.ahead = (unsigned)script_number(rest, "ahead", 0);
	fwd_choose(&fleet, &want, &choice);
	a.choice = &choice;
	a.objective_ms = (double)script_number(rest, "objective", 300);
	a.waited_ms = (double)script_number(rest, "waited", 0);
	a.left_ms = (double)script_number(rest, "left", 6000);
	a.resubmitted = script_number(rest, "returned", 0) != 0;
	a.sends = (unsigned)script_number(rest, "sends", 0);
	a.started = script_number(rest, "begun", 0) != 0;
	a.duration_ms = (double)script_number(rest, "whole", 800);
	a.ahead = (double)script_number(rest, "ahead", 0);
	a.draw = UINT32_MAX / 2;
	at = choice.endpoint != NULL ? choice.endpoint : choice.any_usable;
	if (at == NULL)
		at = choice.next_permit != NULL ? choice.next_permit :
						  choice.next_available;
	if (at != NULL)
		a.first_ms =
		    plain ? a.duration_ms : fwd_expect_first(at, &work);
	verdict = fwd_admission_decide(&a);
	g_string_append(out, verdicts[verdict]);
	if (verdict == ADMIT_REFUSE)
		g_string_append_printf(out, " %lld",
		    (long long)fwd_admission_retry_ms(&a));
	g_string_append_c(out, '\n');
}

static const struct script_command commands[] = {
	{ "entry", exec_entry },
	{ "lapse", exec_lapse },
	{ "unreadable", exec_unreadable },
	{ "hold", exec_hold },
	{ "drop", exec_drop },
	{ "sweep", exec_sweep },
	{ "elsewhere", exec_elsewhere },
	{ "show", exec_show },
	{ "memory", exec_memory },
	{ "given", exec_given },
	{ "sent", exec_sent },
	{ "event", exec_event },
	{ "learn", exec_learn },
	{ "expect", exec_expect },
	{ "load", exec_load },
	{ "rest", exec_rest },
	{ "leave", exec_leave },
	{ "probe", exec_probe },
	{ "limit", exec_limit },
	{ "unlimited", exec_unlimited },
	{ "told", exec_told },
	{ "turn", exec_turn },
	{ "back", exec_back },
	{ "refused", exec_refused },
	{ "taken", exec_taken },
	{ "count", exec_count },
	{ "probed", exec_probed },
	{ "choose", exec_choose },
	{ "admit", exec_admit },
	{ NULL, NULL },
};

int
main(void)
{
	int rc;

	uv_loop_init(&loop);
	rc = script_main("fleet", commands, reset);
	fleet_clear(&fleet);
	catalog_unref(catalog);
	uv_loop_close(&loop);
	return (rc);
}
