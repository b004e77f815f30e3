/* Scripted tests of the fleet, the choice of an endpoint and admission. */
#include <math.h>
#include <string.h>

#include "registry.h"
#include "fwd-admission.h"
#include "fwd-exchange.h"
#include "script.h"

static uv_loop_t loop;
static struct fleet fleet;
static struct catalog *catalog;
static struct engine_profile *engine;
static struct model_profile *model;
static struct fwd_estimate estimate;
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
	memset(&estimate, 0, sizeof estimate);
	offset = 0;
}

/*
 * entry ID at=MS [state=draining] [domain=D] [head=1] [started=MS]
 * [sequence=N]: an entry is read
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

/* lapse ID at=MS [outage=1]: the entry is removed, during a store outage */
static void
exec_lapse(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_lapse(&fleet, id, script_number(rest, "at", 0),
	    script_number(rest, "outage", 0) != 0);
}

/* unreadable ID at=MS: an entry that can't be read has replaced it */
static void
exec_unreadable(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_mark_unreadable(&fleet, id, ++offset,
	    script_number(rest, "at", 0));
}

/* hold ID: an exchange references an endpoint; drop N: it releases the Nth */
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

/* sweep at=MS [all=0]: 0 while lapsed entries may be written again */
static void
exec_sweep(const char *rest, GString *out)
{
	fleet_sweep(&fleet, script_number(rest, "at", 0),
	    script_number(rest, "all", 1) != 0);
}

/* gone ID: another incarnation answered at its address */
static void
exec_gone(const char *rest, GString *out)
{
	endpoint_mark_gone(fleet_find(&fleet, rest));
}

/* show at=MS: each endpoint, and whether it may be sent new requests */
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

/* loaded ID: the model that an endpoint has loaded */
static void
exec_loaded(const char *rest, GString *out)
{
	const struct endpoint *ep = fleet_find(&fleet, rest);

	g_string_append_printf(out, "%s\n",
	    ep->loaded_model != NULL ? ep->loaded_model : "none");
}

/* load ID own=N peers=N pending=N cooldown=MS errors=PERCENT slow=PERCENT */
static void
exec_load(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint *ep = fleet_find(&fleet, id);

	ep->inflight = (unsigned)script_number(rest, "own", 0);
	ep->peer_inflight = (unsigned)script_number(rest, "peers", 0);
	ep->peer_pending = (double)script_number(rest, "pending", 0);
	ep->cooldown_until_ms = script_number(rest, "cooldown", 0);
	ep->error_rate = (double)script_number(rest, "errors", 0) / 100;
	ep->slowness = (double)script_number(rest, "slow", 100) / 100;
}

/* backoff ID asked=MS at=MS [most=MS]: an endpoint asks for a backoff */
static void
exec_backoff(const char *rest, GString *out)
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
	bool changed = endpoint_limit_set(limit, per_s, now);
	uint64_t share = script_number(rest, "share", 0);

	if (share > 0 && limit->share_per_s == 0)
		endpoint_limit_init_permits(limit, 0, now);
	endpoint_limit_set_share(limit, (double)share / 1000, now);
	g_string_append_printf(out, "%s, %g a second\n",
	    changed ? "changed" : "unchanged", limit->per_s);
}

/* unlimited ID sent=MS at=MS: a response to a request names no limit */
static void
exec_unlimited(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint_limit *limit = &fleet_find(&fleet, id)->limit;

	if (endpoint_limit_superseded(limit, script_number(rest, "sent", 0)))
		endpoint_limit_clear(limit, script_number(rest, "at", 0));
	g_string_append(out, limit->named ? "active\n" : "none\n");
}

/* merge ID names=PER_S since=MS at=MS: a peer reports a limit, or none */
static void
exec_merge(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	g_autofree char *names = script_word(rest, "names");
	struct endpoint_limit *limit = &fleet_find(&fleet, id)->limit;
	double per_s =
	    strcmp(names, "none") == 0 ? INFINITY : g_ascii_strtod(names, NULL);
	bool changed = endpoint_limit_merge(limit, per_s,
	    script_number(rest, "since", 0), script_number(rest, "at", 0));

	g_string_append_printf(out, "%s, ", changed ? "changed" : "unchanged");
	if (limit->named)
		g_string_append_printf(out, "%g a second\n", limit->per_s);
	else
		g_string_append(out, "none\n");
}

/* permit ID at=MS [ahead=N] [take=1]: time until a permit; take it */
static void
exec_permit(const char *rest, GString *out)
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

/* return ID: nothing was sent of a request that took a permit */
static void
exec_return(const char *rest, GString *out)
{
	endpoint_limit_return_permit(&fleet_find(&fleet, rest)->limit);
}

/* refused ID at=MS: an endpoint refuses a request and asks for no backoff */
static void
exec_refused(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint *ep = fleet_find(&fleet, id);
	uint64_t ms = endpoint_backoff_refused(&ep->backoff);

	ep->cooldown_until_ms = script_number(rest, "at", 0) + ms;
	g_string_append_printf(out, "cooldown %llu\n", (unsigned long long)ms);
}

/* accepted ID: an endpoint answers a request that it did not refuse */
static void
exec_accepted(const char *rest, GString *out)
{
	endpoint_backoff_accepted(&fleet_find(&fleet, rest)->backoff);
}

/* probe ID: a request is sent to an endpoint after a backoff */
static void
exec_probe(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	bool probe =
	    endpoint_backoff_begin_probe(&fleet_find(&fleet, id)->backoff);

	g_string_append(out, probe ? "probe\n" : "no probe\n");
}

/* probed ID accepted=0|1: that request ends */
static void
exec_probed(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	endpoint_backoff_end_probe(&fleet_find(&fleet, id)->backoff,
	    script_number(rest, "accepted", 0) != 0);
}

/* drain ID: an endpoint reports in a response that it is draining */
static void
exec_drain(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_find(&fleet, id)->draining = true;
}

/* The workload that a command's prompt is for the engine. */
static struct fwd_workload
workload_of(const char *rest)
{
	struct fwd_workload workload = { .engine = engine, .model = model };

	workload.prompt = (double)script_number(rest, "prompt", 1000);
	workload.overhead_ms = estimate.overhead_ms;
	workload.now_ms = script_number(rest, "at", 0);
	return (workload);
}

/*
 * snapshot [configured=1]: endpoints whose entries are passed to a daemon that
 * starts; all were read before there was a configuration
 */
static void
exec_snapshot(const char *rest, GString *out)
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
	g_string_append_printf(out, "%u entries\n", records->len);
}

/* sent ID prompt=N at=MS: a prompt is sent to an endpoint; prints its mark */
static void
exec_sent(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint *ep = fleet_find(&fleet, id);
	struct fwd_workload workload = workload_of(rest);
	double mark = fwd_backlog_add(&ep->backlog, workload.prompt,
	    fwd_expect_rate(ep, &workload), workload.now_ms);

	ep->pending += workload.prompt;
	g_string_append_printf(out, "mark %.0f\n", mark);
}

/* event ID mark=N prompt=N at=MS: the first event of a prompt arrives */
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

/* learn MS...: first events come this much later than the profile's estimate */
static void
exec_learn(const char *rest, GString *out)
{
	g_auto(GStrv) words = g_strsplit(rest, " ", -1);

	for (char **w = words; *w != NULL; w++)
		fwd_estimate_add_first(&estimate, g_ascii_strtod(*w, NULL));
	g_string_append_printf(out, "%.0f\n", estimate.overhead_ms);
}

/* expect ID prompt=N at=MS: prefill backlog, and time to its first event */
static void
exec_expect(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	const struct endpoint *ep = fleet_find(&fleet, id);
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
	if (script_number(rest, "model", 0) != 0) {
		criteria.engine = engine;
		criteria.model = model;
	}
	return (criteria);
}

/*
 * choose at=MS [model=1] [tried=ID,ID,...] [failed=MS]: endpoints that are
 * chosen in many draws
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
		struct fwd_criteria criteria =
		    criteria_of(rest, tried, n_tried, i);

		fwd_choose(&fleet, &criteria, &choice);
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
static void
exec_count(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct fwd_choice choice;
	unsigned n = 0;

	for (uint32_t i = 0; i < DRAWS; i++) {
		struct fwd_criteria criteria = criteria_of(rest, NULL, 0, i);

		fwd_choose(&fleet, &criteria, &choice);
		n += choice.endpoint == fleet_find(&fleet, id);
	}
	g_string_append_printf(out, "%u of %u\n", n, DRAWS);
}

static const char *const verdicts[] = { "send", "queue", "refuse" };

/*
 * admit objective=MS [at=MS] [waited=MS] [left=MS] [sends=N] [resubmitted=1]
 * [started=1] [duration=MS] [ahead=N] [plain=1]: decision on a request of 1,000
 * tokens
 */
static void
exec_admit(const char *rest, GString *out)
{
	bool plain = script_number(rest, "plain", 0) != 0;
	struct fwd_workload workload = workload_of(rest);
	struct fwd_criteria criteria = { .service = "s",
		.engine = plain ? NULL : engine,
		.model = plain ? NULL : model,
		.prompt = workload.prompt,
		.domain = "a",
		.now_ms = workload.now_ms };
	struct fwd_admission a = { .criteria = &criteria };
	const struct endpoint *at;
	struct fwd_choice choice;
	enum fwd_admission_verdict verdict;

	criteria.overhead_ms = estimate.overhead_ms;
	criteria.ahead = (unsigned)script_number(rest, "ahead", 0);
	fwd_choose(&fleet, &criteria, &choice);
	a.choice = &choice;
	a.objective_ms = (double)script_number(rest, "objective", 300);
	a.waited_ms = (double)script_number(rest, "waited", 0);
	a.left_ms = (double)script_number(rest, "left", 6000);
	a.resubmitted = script_number(rest, "resubmitted", 0) != 0;
	a.sends = (unsigned)script_number(rest, "sends", 0);
	a.started = script_number(rest, "started", 0) != 0;
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

/* silent ID at=MS: an endpoint is found silent; heard ID at=MS [peer=1]: this
 * or another daemon hears from it */
static void
exec_silent(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_find(&fleet, id)->warned_ms = script_number(rest, "at", 0);
}

static void
exec_heard(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));
	struct endpoint *ep = fleet_find(&fleet, id);
	uint64_t at = script_number(rest, "at", 0);

	if (script_number(rest, "peer", 0) != 0)
		ep->peer_heard_ms = at;
	else
		ep->heard_ms = at;
}

/* connect ID at=MS objective=MS usable=N [plain=1]: how long a connection may
 * take, and whether other daemons are warned after that */
static void
exec_connect(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	g_string_append_printf(out, "%.0f ms, %s\n",
	    fwd_silence_connect_ms(script_number(rest, "plain", 0) != 0,
		(double)script_number(rest, "objective", 0),
		(unsigned)script_number(rest, "usable", 0)),
	    fwd_silence_unheard(fleet_find(&fleet, id),
		script_number(rest, "at", 0)) ?
		"warn" :
		"don't warn");
}

static const struct script_command commands[] = {
	{ "entry", exec_entry },
	{ "lapse", exec_lapse },
	{ "unreadable", exec_unreadable },
	{ "hold", exec_hold },
	{ "drop", exec_drop },
	{ "sweep", exec_sweep },
	{ "gone", exec_gone },
	{ "show", exec_show },
	{ "loaded", exec_loaded },
	{ "snapshot", exec_snapshot },
	{ "sent", exec_sent },
	{ "event", exec_event },
	{ "learn", exec_learn },
	{ "expect", exec_expect },
	{ "load", exec_load },
	{ "backoff", exec_backoff },
	{ "drain", exec_drain },
	{ "probe", exec_probe },
	{ "limit", exec_limit },
	{ "unlimited", exec_unlimited },
	{ "merge", exec_merge },
	{ "permit", exec_permit },
	{ "return", exec_return },
	{ "refused", exec_refused },
	{ "accepted", exec_accepted },
	{ "count", exec_count },
	{ "probed", exec_probed },
	{ "choose", exec_choose },
	{ "silent", exec_silent },
	{ "heard", exec_heard },
	{ "connect", exec_connect },
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
