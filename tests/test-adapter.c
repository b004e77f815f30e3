/* Tests of the formats of the platform's adapter and of mesh messages. */
#include <jansson.h>
#include <math.h>
#include <string.h>

#include "mesh-envelope.h"
#include "mesh-message.h"
#include "platform.h"
#include "script.h"

static struct catalog *catalog;

static void
reset(void)
{
	g_clear_pointer(&catalog, catalog_unref);
}

/* config JSON: decode a configuration and print parts of it */
static void
exec_config(const char *rest, GString *out)
{
	g_autoptr(GError) error = NULL;

	reset();
	catalog = platform_config_decode(rest, strlen(rest), &error);
	if (catalog == NULL) {
		g_string_append_printf(out, "refused: %s\n", error->message);
		return;
	}
	g_string_append_printf(out,
	    "version %lld routes %u services %u keys %u body %lld\n",
	    (long long)catalog->version, catalog->routes->len,
	    g_hash_table_size(catalog->services),
	    g_hash_table_size(catalog->keys),
	    (long long)catalog->limits.max_body_bytes);
}

/* route HOST PATH: print the route of a request */
static void
exec_route(const char *rest, GString *out)
{
	g_auto(GStrv) w = g_strsplit(rest, " ", 2);
	const struct catalog_route *r = catalog_find_route(catalog, w[0], w[1]);

	if (r == NULL) {
		g_string_append(out, "none\n");
		return;
	}
	g_string_append_printf(out,
	    "%s retry=%d resumable=%d public=%d timeout=%lld objective=%lld "
	    "attempts=%u splits=%u\n",
	    r->name, (int)r->retry, r->resumable, r->public,
	    (long long)r->timeout_ms, (long long)r->objective_ms,
	    r->max_attempts, r->splits->len);
}

/* split PATH: print how many of 100 requests go to service a */
static void
exec_split(const char *rest, GString *out)
{
	const struct catalog_route *r = catalog_find_route(catalog, "h", rest);
	unsigned n = 0;

	for (uint64_t draw = 0; draw < 100; draw++)
		n += strcmp(catalog_pick_service(r, draw), "a") == 0;
	g_string_append_printf(out, "a %u\n", n);
}

/* engine SERVICE: print the engine profile of a service and its models */
static void
exec_engine(const char *rest, GString *out)
{
	const struct engine_profile *e =
	    catalog_find_service(catalog, rest)->engine;

	g_string_append_printf(out,
	    "slots %u step %.2f prefill %.1f/ms chunk %.0f loads %.0f/s at once "
	    "%u staged %u\n",
	    e->slots, e->step_ms, e->prefill_per_ms, e->chunk, e->loads_per_s,
	    e->loads_at_once, e->staged_limit);
	for (guint i = 0; i < e->models->len; i++) {
		const struct model_profile *m = e->models->pdata[i];

		g_string_append_printf(out,
		    "model %s size %u share %.2f load %.0f warm %.0f\n",
		    m->name, m->size, m->share, m->load_ms, m->warm_ms);
	}
}

/* entry JSON: decode an endpoint's entry and print it */
static void
exec_entry(const char *rest, GString *out)
{
	struct endpoint_report r;
	g_autoptr(GError) error = NULL;

	if (!platform_endpoint_decode("e1", rest, strlen(rest), &r, &error)) {
		g_string_append_printf(out, "refused: %s\n", error->message);
		return;
	}
	g_string_append_printf(out,
	    "%s domain=%s fabric=%s slots=%u draining=%d staged=%u model=%s "
	    "group=%s epoch=%lld rank=%d %s",
	    r.service, r.domain, r.fabric != NULL ? r.fabric : "-", r.slots,
	    r.draining, r.staged->len, r.model != NULL ? r.model : "-",
	    r.group != NULL ? r.group : "-", (long long)r.epoch, r.rank,
	    group_state_name(r.state));
	if (r.started_ms != 0)
		g_string_append_printf(out, " started=%lld",
		    (long long)r.started_ms);
	g_string_append_c(out, '\n');
	endpoint_report_clear(&r);
}

/* Parses "Name: value|Name: value" into a head. */
static void
head_parse(struct net_head *head, const char *text)
{
	g_auto(GStrv) lines = g_strsplit(text, "|", 0);

	net_head_init(head);
	net_head_add_target(head, "/", 1);
	for (char **l = lines; *l != NULL; l++) {
		char *colon = strstr(*l, ": ");

		net_head_add_name(head, *l, (size_t)(colon - *l));
		net_head_add_value(head, colon + 2, strlen(colon + 2));
	}
	net_head_close_value(head);
}

/* Prints the parts of a prompt. */
static void
print_prompt(const struct wire_prompt *prompt, GString *out)
{
	if (prompt->n == 0)
		return;
	g_string_append(out, "parts:");
	for (unsigned i = 0; i < prompt->n; i++)
		g_string_append_printf(out, " %" G_GINT64_MODIFIER "x/%u",
		    prompt->parts[i].id, prompt->parts[i].tokens);
	g_string_append_c(out, '\n');
}

/* request HEADERS: decode a request; print it and the forwarded headers */
static void
exec_request(const char *rest, GString *out)
{
	struct wire_request req;
	struct net_head head;

	head_parse(&head, rest);
	platform_wire.read_request(&head, &req);
	g_string_append_printf(out,
	    "id=%s key=%s model=%s deadline=%lld tokens=%.0f,%.0f last=%lld\n",
	    req.id != NULL ? req.id : "-", req.key != NULL ? req.key : "-",
	    req.model != NULL ? req.model : "-", (long long)req.deadline_ms,
	    req.prompt_tokens, req.response_tokens, (long long)req.last_event);
	print_prompt(&req.prompt, out);
	g_string_append(out, "forwards:");
	for (unsigned i = 0; i < head.n_fields; i++) {
		const char *name = net_head_name(&head, i);

		if (!net_head_hop_by_hop(&head, i) &&
		    platform_wire.passes_header(name))
			g_string_append_printf(out, " %s", name);
	}
	g_string_append_c(out, '\n');
	net_head_clear(&head);
}

/* Prints one kind of feedback if its header is present. */
static void
print_feedback(const struct feedback *feedback, const char *name,
    const char *unit, GString *out)
{
	if (feedback->text == NULL)
		return;
	if (isnan(feedback->number))
		g_string_append_printf(out, " %s=?(%s)", name, feedback->text);
	else
		g_string_append_printf(out, " %s=%g%s", name, feedback->number,
		    unit);
}

/* response STATUS HEADERS: decode an endpoint's response and print it */
static void
exec_response(const char *rest, GString *out)
{
	char *at;
	unsigned status = (unsigned)strtoul(rest, &at, 10);
	struct wire_response response;
	struct net_head head;

	head_parse(&head, at + 1);
	platform_wire.read_response(status, &head, &response);
	g_string_append_printf(out,
	    "id=%s signature=%d not_run=%d wrong_endpoint=%d lost_member=%s",
	    response.id != NULL ? response.id : "-", response.has_signature,
	    response.not_run, response.wrong_endpoint,
	    response.lost_member != NULL ? response.lost_member : "-");
	if (response.malformed)
		g_string_append(out, " malformed");
	if (response.feedback[FEEDBACK_DRAINING].number == 1)
		g_string_append(out, " draining=1");
	print_feedback(&response.feedback[FEEDBACK_BACKOFF], "backoff", " ms",
	    out);
	print_feedback(&response.feedback[FEEDBACK_LIMIT], "limit", "/s", out);
	g_string_append_c(out, '\n');
	net_head_clear(&head);
}

/* forward: print the headers that are set for an endpoint */
static void
exec_forward(const char *rest, GString *out)
{
	const struct wire_forward fwd = { "i-1", "club", 1234, 7, -1 };

	platform_wire.write_forward(out, &fwd);
	for (char *c = strchr(out->str, '\r'); c != NULL; c = strchr(c, '\r'))
		*c = ' ';
}

/*
 * message [cut=N] [more=N] [inflight=N] [pending=N] [idle=N]: encode a mesh
 * message, decode it and print it; N bytes less or more are refused
 */
static void
exec_message(const char *rest, GString *out)
{
	static struct mesh_message in, back;
	static char bytes[MESH_DATAGRAM_MAX];
	const struct mesh_message sample = { .kind = MESH_FLEET_SUMMARY,
		.name = "d1",
		.domain = "a",
		.capacity = 500,
		.incarnation = 5,
		.sequence = 9,
		.pong = 77,
		.self = { .placer = true, .term = 3 },
		.placer = { 7, 3, 250, true },
		.relay = { "d0", "", 1, 7340, 120 },
		.config_version = 12,
		.config_age_ms = 40,
		.n_alive = 295,
		.n_loads = 2,
		.n_avoid = 1,
		.n_limits = 1,
		.n_members = 2 };
	size_t length;

	in = sample;
	in.loads[1].id_hash = 4;
	in.loads[1].inflight = (uint32_t)script_number(rest, "inflight", 2);
	in.loads[1].pending = (uint32_t)script_number(rest, "pending", 1000);
	in.loads[1].idle_ms = (uint32_t)script_number(rest, "idle", 30);
	in.avoid[0] = (struct mesh_avoid){ 99, 20 };
	in.limits[0] = (struct mesh_limit){ 98, 1300, 250, 3, 433333 };
	in.members[1] = (struct mesh_member){ 8, true };
	length = mesh_message_encode(&in, bytes, sizeof bytes);
	length -= script_number(rest, "cut", 0);
	length += script_number(rest, "more", 0);
	if (!mesh_message_decode(&back, bytes, length)) {
		g_string_append(out, "refused\n");
		return;
	}
	g_string_append_printf(out,
	    "%s %s incarnation=%d placer=%d term=%d version=%d loads=%u "
	    "id_hash=%u pending=%u avoid=%u\n",
	    back.name, back.domain, (int)back.incarnation, back.self.placer,
	    (int)back.self.term, (int)back.config_version, back.n_loads,
	    back.loads[1].id_hash, back.loads[1].pending,
	    back.avoid[0].id_hash);
	g_string_append_printf(out,
	    "kind=%d capacity=%u alive=%u inflight=%u idle=%u avoid_age=%u "
	    "placer=%u/%d/%u/%d relay=%s:%u/%u members=%u last=%u/%d "
	    "limit=%u/%u/%u/%u/%u\n",
	    (int)back.kind, back.capacity, back.n_alive, back.loads[1].inflight,
	    back.loads[1].idle_ms, back.avoid[0].age_ms, back.placer.name_hash,
	    (int)back.placer.term, back.placer.age_ms, back.placer.can_place,
	    back.relay.name, back.relay.port, back.relay.capacity,
	    back.n_members, back.members[1].name_hash,
	    back.members[1].config_current, back.limits[0].id_hash,
	    back.limits[0].milli_per_s, back.limits[0].age_ms,
	    back.limits[0].users, back.limits[0].each_micro_per_s);
}

/*
 * envelope targets=N [cut=N]: put five bytes into an envelope for N + 1
 * members, and take them out
 */
static void
exec_envelope(const char *rest, GString *out)
{
	static char bytes[MESH_ENVELOPE_BYTES_MAX + 5];
	struct mesh_envelope in = { .origin = { 1, 7340, 0 },
		.self = { 2, 7341, MESH_ACK_VALID | 65535 },
		.n_targets = (uint32_t)script_number(rest, "targets", 0) };
	struct mesh_envelope back;
	size_t length, at;

	for (uint32_t i = 0; i < MIN(in.n_targets, MESH_TARGETS_MAX); i++)
		in.targets[i] = (struct mesh_target){ 3 + i, 7340, 0 };
	length = mesh_envelope_encode(&in, "inner", 5, bytes, sizeof bytes);
	length -= MIN(length, script_number(rest, "cut", 0));
	if (!mesh_envelope_decode(&back, bytes, length, &at)) {
		g_string_append(out, "refused\n");
		return;
	}
	g_string_append_printf(out,
	    "origin=%u:%u self=%u:%u/%x targets=%u last=%u inner=%.*s\n",
	    back.origin.ip, back.origin.port, back.self.ip, back.self.port,
	    back.self.ack, back.n_targets,
	    back.n_targets > 0 ? back.targets[back.n_targets - 1].ip : 0,
	    (int)(length - at), bytes + at);
}

static const struct script_command commands[] = {
	{ "config", exec_config },
	{ "route", exec_route },
	{ "split", exec_split },
	{ "engine", exec_engine },
	{ "envelope", exec_envelope },
	{ "entry", exec_entry },
	{ "request", exec_request },
	{ "response", exec_response },
	{ "forward", exec_forward },
	{ "message", exec_message },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("adapter", commands, reset);

	reset();
	return (rc);
}
