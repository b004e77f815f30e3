/* Scripted tests of the endpoints that a daemon knows, the choice of one and
 * admission. */
#include <string.h>

#include "endpoint-script.h"
#include "registry-silence.h"

static uv_loop_t loop;
struct endpoint_script endpoint_script;

static void
reset(void)
{
	struct endpoint_script *s = &endpoint_script;

	if (s->fleet.by_id != NULL)
		fleet_clear(&s->fleet);
	fleet_init(&s->fleet, &loop);
	g_clear_pointer(&s->catalog, catalog_unref);
	s->catalog = catalog_create();
	s->engine = catalog_add_engine(catalog_add_service(s->catalog, "s"));
	s->engine->slots = 8;
	s->engine->step_ms = 6;
	s->engine->per_seq_ms = 0.25;
	s->engine->prefill_per_ms = 46;
	s->engine->stride = 5;
	s->model = g_new0(struct model_profile, 1);
	s->model->name = g_strdup("m");
	s->model->size = 2;
	s->model->pace = 1;
	s->model->warm_ms = 1200;
	s->engine->form_ms = 300;
	g_ptr_array_add(s->engine->models, s->model);
	memset(&s->estimate, 0, sizeof s->estimate);
	s->offset = 0;
}

/* Store offset of a record: the one that the command names, or the next one. */
static uint64_t
next_offset(const char *rest)
{
	uint64_t next = ++endpoint_script.offset;

	return (script_number(rest, "offset", next));
}

/*
 * entry ID at=MS [state=draining] [domain=D] [head=1] [started=MS]
 * [sequence=N] [offset=N]: an entry is read
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
	fleet_update(&endpoint_script.fleet, &report, next_offset(rest),
	    script_number(rest, "at", 0));
}

/* lapse ID at=MS [outage=1] [offset=N]: the entry is removed, during a store
 * outage */
static void
exec_lapse(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_lapse(&endpoint_script.fleet, id, next_offset(rest),
	    script_number(rest, "at", 0),
	    script_number(rest, "outage", 0) != 0);
}

/* unreadable ID at=MS: an entry that can't be read has replaced it */
static void
exec_unreadable(const char *rest, GString *out)
{
	g_autofree char *id = g_strndup(rest, strcspn(rest, " "));

	fleet_mark_unreadable(&endpoint_script.fleet, id,
	    ++endpoint_script.offset, script_number(rest, "at", 0));
}

/* hold ID: an exchange references an endpoint; drop N: it releases the Nth */
static void
exec_hold(const char *rest, GString *out)
{
	endpoint_script_find(rest)->refs++;
}

static void
exec_drop(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);
	struct endpoint *ep = TAILQ_FIRST(&endpoint_script.fleet.endpoints);

	while (n-- > 1)
		ep = TAILQ_NEXT(ep, entry);
	ep->refs--;
}

/* sweep at=MS [all=0]: 0 while lapsed entries may be written again */
static void
exec_sweep(const char *rest, GString *out)
{
	fleet_sweep(&endpoint_script.fleet, script_number(rest, "at", 0),
	    script_number(rest, "all", 1) != 0);
}

/* gone ID: another incarnation answered at its address */
static void
exec_gone(const char *rest, GString *out)
{
	endpoint_mark_gone(endpoint_script_find(rest));
}

/* show at=MS: each endpoint, and whether it may be sent new requests */
static void
exec_show(const char *rest, GString *out)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &endpoint_script.fleet.endpoints, entry)
		g_string_append_printf(out, "%s %s\n", ep->report.id,
		    endpoint_usable(ep, script_number(rest, "at", 0)) ?
			"usable" :
			"not");
}

/* loaded ID: the model that an endpoint has loaded */
static void
exec_loaded(const char *rest, GString *out)
{
	const struct endpoint *ep = endpoint_script_find(rest);

	g_string_append_printf(out, "%s\n",
	    ep->loaded_model != NULL ? ep->loaded_model : "none");
}

/*
 * load ID own=N peers=N pending=N cooldown=MS errors=PERCENT slow=PERCENT
 * [heard=MS] [peers-heard=MS]
 */
static void
exec_load(const char *rest, GString *out)
{
	struct endpoint *ep = endpoint_script_find(rest);

	ep->inflight = (unsigned)script_number(rest, "own", 0);
	ep->peer_inflight = (unsigned)script_number(rest, "peers", 0);
	ep->peer_pending = (double)script_number(rest, "pending", 0);
	ep->cooldown_until_ms = script_number(rest, "cooldown", 0);
	ep->error_rate = (double)script_number(rest, "errors", 0) / 100;
	ep->slowness = (double)script_number(rest, "slow", 100) / 100;
	ep->heard_ms = script_number(rest, "heard", ep->heard_ms);
	ep->peer_heard_ms = script_number(rest, "peers-heard", 0);
}

/* found-silent ID at=MS; bytes ID at=MS: bytes arrive from an endpoint */
static void
exec_found_silent(const char *rest, GString *out)
{
	endpoint_note_silent(endpoint_script_find(rest),
	    script_number(rest, "at", 0));
}

static void
exec_bytes(const char *rest, GString *out)
{
	endpoint_note_heard(endpoint_script_find(rest),
	    script_number(rest, "at", 0));
}

/*
 * snapshot [configured=1]: endpoints whose entries are passed to a daemon that
 * starts; all were read before there was a configuration
 */
static void
exec_snapshot(const char *rest, GString *out)
{
	struct registry registry = { .fleet = endpoint_script.fleet };
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	struct endpoint *ep;

	g_array_set_clear_func(records, store_record_clear);
	TAILQ_FOREACH(ep, &endpoint_script.fleet.endpoints, entry)
		endpoint_set_entry(ep, false, "x", 1);
	if (script_number(rest, "configured", 0) != 0)
		registry.catalog = endpoint_script.catalog;
	registry_get_snapshot(&registry, records);
	for (guint i = 0; i < records->len; i++)
		g_string_append_printf(out, "%s\n",
		    g_array_index(records, struct store_record, i).key);
	g_string_append_printf(out, "%u entries\n", records->len);
}

/* outcomes ID count=N at=MS [failed=1]: so many requests to it ended then */
static void
exec_outcomes(const char *rest, GString *out)
{
	struct endpoint *ep = endpoint_script_find(rest);
	bool failed = script_number(rest, "failed", 0) != 0;

	for (guint64 i = 0; i < script_number(rest, "count", 1); i++)
		endpoint_count_outcome(ep, failed,
		    script_number(rest, "at", 0));
}

/* error-rate ID at=MS: its error rate then, in parts of 100 */
static void
exec_error_rate(const char *rest, GString *out)
{
	double rate = endpoint_error_rate(endpoint_script_find(rest),
	    script_number(rest, "at", 0));

	g_string_append_printf(out, "%.0f\n", rate * 100);
}

static const struct script_command commands[] = {
	{ "outcomes", exec_outcomes },
	{ "error-rate", exec_error_rate },
	{ "entry", exec_entry },
	{ "lapse", exec_lapse },
	{ "unreadable", exec_unreadable },
	{ "hold", exec_hold },
	{ "drop", exec_drop },
	{ "sweep", exec_sweep },
	{ "gone", exec_gone },
	{ "show", exec_show },
	{ "loaded", exec_loaded },
	{ "found-silent", exec_found_silent },
	{ "bytes", exec_bytes },
	{ "snapshot", exec_snapshot },
	{ "sent", endpoint_script_sent },
	{ "event", endpoint_script_event },
	{ "learn", endpoint_script_learn },
	{ "lasted", endpoint_script_lasted },
	{ "fits", endpoint_script_fits },
	{ "expect", endpoint_script_expect },
	{ "load", exec_load },
	{ "backoff", endpoint_script_backoff },
	{ "drain", endpoint_script_drain },
	{ "probe", endpoint_script_probe },
	{ "limit", endpoint_script_limit },
	{ "unlimited", endpoint_script_unlimited },
	{ "merge", endpoint_script_merge },
	{ "permit", endpoint_script_permit },
	{ "return", endpoint_script_return },
	{ "refused", endpoint_script_refused },
	{ "accepted", endpoint_script_accepted },
	{ "count", endpoint_script_count },
	{ "probed", endpoint_script_probed },
	{ "choose", endpoint_script_choose },
	{ "silent", endpoint_script_silent },
	{ "heard", endpoint_script_heard },
	{ "connect", endpoint_script_connect },
	{ "admit", endpoint_script_admit },
	{ NULL, NULL },
};

int
main(void)
{
	int rc;

	uv_loop_init(&loop);
	rc = script_main("fleet", commands, reset);
	fleet_clear(&endpoint_script.fleet);
	catalog_unref(endpoint_script.catalog);
	uv_loop_close(&loop);
	return (rc);
}
