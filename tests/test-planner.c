/* Scripted tests of the planner: which hosts form which replicas, which get
 * copies, and how the bound on the largest model changes. */
#include <string.h>

#include "planner-samples.h"
#include "script.h"

#define HOSTS_MAX 200

static struct catalog *catalog;
static struct engine_profile *engine;
static struct planner_host hosts[HOSTS_MAX];
static unsigned n_hosts, n_gone;
static struct replica *replicas[HOSTS_MAX];
static unsigned n_replicas;
static guint64 loads, served, hosts_stable;

static void
reset(void)
{
	for (unsigned i = 0; i < n_hosts; i++) {
		g_free((char *)hosts[i].id);
		g_free((char *)hosts[i].domain);
		g_free((char *)hosts[i].fabric);
		g_free((char *)hosts[i].loaded_model);
		g_free((char *)hosts[i].copying);
		g_ptr_array_free((GPtrArray *)hosts[i].staged, TRUE);
	}
	for (unsigned i = 0; i < n_replicas; i++)
		replica_free(replicas[i]);
	n_hosts = 0;
	n_gone = 0;
	n_replicas = 0;
	loads = 100;
	served = 0;
	hosts_stable = 1;
	planner_samples_reset();
	g_clear_pointer(&catalog, catalog_unref);
	catalog = catalog_create();
	engine = catalog_add_engine(catalog_add_service(catalog, "s"));
	engine->slots = 48;
}

/* reset: start over with no models, hosts or replicas */
static void
exec_reset(const char *rest, GString *out)
{
	reset();
}

/* model NAME size=N share=PERCENT [pace=PERCENT]: the engine profile has this
 * model */
static void
exec_model(const char *rest, GString *out)
{
	struct model_profile *m = g_new0(struct model_profile, 1);

	m->name = g_strndup(rest, strcspn(rest, " "));
	m->size = (unsigned)script_number(rest, "size", 1);
	m->share = (double)script_number(rest, "share", 100) / 100;
	m->pace = (double)script_number(rest, "pace", 100) / 100;
	g_ptr_array_add(engine->models, m);
}

/* engine slots=N step_us=N per_seq_us=N prefill_per_ms=N prompt=N response=N:
 * the engine profile has these times; the demand is judged by its peaks */
static void
exec_engine(const char *rest, GString *out)
{
	engine->slots = (unsigned)script_number(rest, "slots", 48);
	engine->step_ms = (double)script_number(rest, "step_us", 0) / 1000;
	engine->per_seq_ms =
	    (double)script_number(rest, "per_seq_us", 0) / 1000;
	engine->prefill_per_ms =
	    (double)script_number(rest, "prefill_per_ms", 0);
	engine->usual_prompt = (double)script_number(rest, "prompt", 0);
	engine->usual_response = (double)script_number(rest, "response", 0);
	planner_samples_use_peaks();
}

/* hosts N domain=D fabric=F [memory=M] [staged=M]: N free hosts, with these
 * models in memory and as a copy */
static void
exec_hosts(const char *rest, GString *out)
{
	guint64 n = g_ascii_strtoull(rest, NULL, 10);

	while (n-- > 0) {
		struct planner_host *h = &hosts[n_hosts];
		g_autofree char *staged = script_word(rest, "staged");
		GPtrArray *copies = g_ptr_array_new_with_free_func(g_free);

		memset(h, 0, sizeof *h);
		h->id = g_strdup_printf("h%u", n_hosts++);
		h->domain = script_word(rest, "domain");
		h->fabric = script_word(rest, "fabric");
		h->loaded_model = script_word(rest, "memory");
		h->free = true;
		if (staged != NULL)
			g_ptr_array_add(copies, g_strdup(staged));
		h->staged = copies;
	}
}

/**
 * planner_script_view() - build the planner's view of all hosts and replicas.
 * @view: set to the view; the caller clears it
 */
void
planner_script_view(struct planner_view *view)
{
	planner_view_init(view, engine);
	g_array_append_vals(view->hosts, hosts, n_hosts - n_gone);
	for (unsigned i = 0; i < n_hosts; i++) {
		const struct replica *r = hosts[i].group;

		if (r != NULL && replica_active(r) &&
		    strcmp(r->members[0].id, hosts[i].id) == 0)
			planner_view_add_replica(view, r, hosts[i].domain,
			    hosts[i].fabric);
	}
	planner_view_count_hosts(view);
	planner_samples_apply(view);
	planner_view_set_targets(view);
	view->loads_free = (unsigned)loads;
	view->served = served != 0;
	view->hosts_stable = hosts_stable != 0;
}

static void
view_free(struct planner_view *view)
{
	planner_view_clear(view);
}

/* Sets the model that a host has in memory. */
static void
host_set_loaded_model(struct planner_host *h, const char *model)
{
	g_free((char *)h->loaded_model);
	h->loaded_model = g_strdup(model);
}

/* memory hN MODEL: the host has loaded the model into memory */
static void
exec_memory(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);

	host_set_loaded_model(&hosts[g_ascii_strtoull(w[0] + 1, NULL, 10)],
	    w[1]);
}

/* warm: prints the free host that should load the largest model into memory */
static void
exec_warm(const char *rest, GString *out)
{
	const struct planner_host *h;
	struct planner_view view;

	planner_script_view(&view);
	h = planner_plan_warming(&view);
	g_string_append_printf(out, "%s\n", h != NULL ? h->id : "none");
	view_free(&view);
}

/* Adds an open replica of these hosts. */
static void
group_add(const char *model, guint64 first, guint64 last)
{
	g_autofree char *name = g_strdup_printf("g%u", n_replicas);
	struct replica *r = replica_create(name, "s", model, 1);
	struct sockaddr_in any = { 0 };

	r->opened = true;
	for (guint64 i = first; i <= last; i++) {
		replica_add_member(r, hosts[i].id, &any);
		hosts[i].free = false;
		hosts[i].group = r;
	}
	replicas[n_replicas++] = r;
}

/* group MODEL first=N last=N [each=N]: an open replica of these hosts, or
 * several of so many each */
static void
exec_group(const char *rest, GString *out)
{
	g_autofree char *model = g_strndup(rest, strcspn(rest, " "));
	guint64 first = script_number(rest, "first", 0);
	guint64 last = script_number(rest, "last", 0);
	guint64 each = script_number(rest, "each", last - first + 1);

	for (; first <= last; first += each)
		group_add(model, first, first + each - 1);
}

/* copy hN MODEL: the host has got a copy, which replaces its previous one */
static void
exec_copy(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);
	GPtrArray *copies =
	    (GPtrArray *)hosts[g_ascii_strtoull(w[0] + 1, NULL, 10)].staged;

	g_ptr_array_set_size(copies, 0);
	g_ptr_array_add(copies, g_strdup(w[1]));
}

/* lost N: the host is not free any more */
static void
exec_lost(const char *rest, GString *out)
{
	hosts[g_ascii_strtoull(rest, NULL, 10)].free = false;
}

/* gone N: the entries of the last N hosts have lapsed */
static void
exec_gone(const char *rest, GString *out)
{
	n_gone = (unsigned)g_ascii_strtoull(rest, NULL, 10);
}

/* set [loads=N] [served=0|1] [stable=0|1]: properties of the view */
static void
exec_set(const char *rest, GString *out)
{
	loads = script_number(rest, "loads", loads);
	served = script_number(rest, "served", served);
	hosts_stable = script_number(rest, "stable", hosts_stable);
}

/* Forms the replica of a plan, which opens at once; prints and returns it. */
static struct replica *
plan_form(const struct replica_plan *plan, GString *out)
{
	struct replica *r = replica_create("g", "s", plan->model->name, 1);
	struct sockaddr_in any = { 0 };

	r->opened = true;
	g_string_append_printf(out, "%s loads=%u", plan->model->name,
	    plan->loads);
	for (guint i = 0; i < plan->members->len; i++) {
		struct planner_host *h =
		    &hosts[g_array_index(plan->members, guint, i)];

		g_string_append_printf(out, " %s", h->id);
		replica_add_member(r, h->id, &any);
		h->free = false;
		h->group = r;
		host_set_loaded_model(h, plan->model->name);
	}
	g_string_append_printf(out, " in %s\n",
	    hosts[g_array_index(plan->members, guint, 0)].fabric);
	replicas[n_replicas++] = r;
	return (r);
}

/* form [times=N] [same-view=1]: plans and forms the next replicas, each from a
 * new view or all from the same one */
static void
exec_form(const char *rest, GString *out)
{
	guint64 times = script_number(rest, "times", 1);
	bool same_view = script_number(rest, "same-view", 0) != 0;
	struct planner_view view;

	planner_script_view(&view);
	while (times-- > 0) {
		struct replica_plan plan = { 0 };
		struct replica *r;

		if (!planner_plan_replica(&view, &plan)) {
			g_string_append(out, "none\n");
			break;
		}
		r = plan_form(&plan, out);
		if (same_view) {
			planner_view_set_formed(&view, &plan, r);
		} else {
			view_free(&view);
			planner_script_view(&view);
		}
		g_array_free(plan.members, TRUE);
	}
	view_free(&view);
}

/* donor: prints the head of the replica to dissolve for the largest model */
static void
exec_donor(const char *rest, GString *out)
{
	struct planner_view view;
	const struct replica *r;

	planner_script_view(&view);
	r = planner_find_donor(&view);
	g_string_append_printf(out, "%s\n",
	    r != NULL ? r->members[0].id : "none");
	view_free(&view);
}

/* surplus: prints the head of the surplus replica to dissolve */
static void
exec_surplus(const char *rest, GString *out)
{
	struct planner_view view;
	const struct replica *r;

	planner_script_view(&view);
	r = planner_find_surplus(&view);
	g_string_append_printf(out, "%s\n",
	    r != NULL ? r->members[0].id : "none");
	view_free(&view);
}

/* end hN: the replica with this head is dissolved */
static void
exec_end(const char *rest, GString *out)
{
	struct replica *r = hosts[g_ascii_strtoull(rest + 1, NULL, 10)].group;

	r->dissolve_reason = "end";
	for (unsigned i = 0; i < n_hosts; i++) {
		if (hosts[i].group != r)
			continue;
		hosts[i].group = NULL;
		hosts[i].free = true;
		host_set_loaded_model(&hosts[i], r->model);
	}
}

/* plan-copy: prints the next host to get a copy, and of which model */
static void
exec_plan_copy(const char *rest, GString *out)
{
	const struct model_profile *model;
	const struct planner_host *h;
	struct planner_view view;

	planner_script_view(&view);
	h = planner_plan_copy(&view, &model);
	if (h != NULL)
		g_string_append_printf(out, "%s %s\n", h->id, model->name);
	else
		g_string_append(out, "none\n");
	view_free(&view);
}

static const struct script_command commands[] = {
	{ "reset", exec_reset },
	{ "model", exec_model },
	{ "engine", exec_engine },
	{ "hosts", exec_hosts },
	{ "group", exec_group },
	{ "copy", exec_copy },
	{ "lost", exec_lost },
	{ "gone", exec_gone },
	{ "set", exec_set },
	{ "form", exec_form },
	{ "donor", exec_donor },
	{ "surplus", exec_surplus },
	{ "end", exec_end },
	{ "sample", planner_samples_exec },
	{ "sums", planner_samples_exec_sums },
	{ "take-over", planner_samples_exec_take_over },
	{ "plan-copy", exec_plan_copy },
	{ "memory", exec_memory },
	{ "warm", exec_warm },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("planner", commands, reset);

	reset();
	g_clear_pointer(&catalog, catalog_unref);
	return (rc);
}
