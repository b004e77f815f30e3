/* Engines' groups in the stand-in for the users' platform. */
#include <stdlib.h>
#include <string.h>

#include "fake-platform.h"

#define WARM_MS 50
/* A head that has lost a member is broken after this time. */
#define STALL_MS 5000

/* An order that is carried out later. */
struct late_order {
	uv_timer_t timer;
	struct fake_endpoint *endpoint;
	json_t *order;
};

/* Whether two engines are in one group. */
static bool
group_same(const struct fake_endpoint *a, const struct fake_endpoint *b)
{
	return (a->group != NULL && b->group != NULL &&
	    strcmp(a->group, b->group) == 0 && a->epoch == b->epoch);
}

/* Returns the head of an engine's group, or NULL if it has left. */
static const struct fake_endpoint *
group_head(const struct fake_endpoint *ep)
{
	for (guint i = 0; i < fake_endpoints->len; i++) {
		const struct fake_endpoint *other = fake_endpoints->pdata[i];

		if (group_same(ep, other) && other->rank == 0)
			return (other);
	}
	return (NULL);
}

static unsigned
group_count_members(const struct fake_endpoint *ep)
{
	unsigned n = 0;

	for (guint i = 0; i < fake_endpoints->len; i++)
		n += group_same(ep, fake_endpoints->pdata[i]);
	return (n);
}

/* Reports a join of an engine whose present group may still serve. */
static void
group_check_join(const struct fake_endpoint *ep, const char *group)
{
	const struct fake_endpoint *head;

	if (ep->group == NULL || strcmp(ep->group, group) == 0)
		return;
	head = group_head(ep);
	if (head != NULL && strcmp(head->state, "open") == 0)
		g_string_append_printf(fake_journal, "two %s %s %s\n", ep->id,
		    group, ep->group);
}

static void
group_leave(struct fake_endpoint *ep)
{
	g_clear_pointer(&ep->group, g_free);
	ep->state = "none";
}

static unsigned
group_join(struct fake_endpoint *ep, const json_t *order, const char *group,
    int64_t epoch)
{
	const json_t *members = json_object_get(order, "members");

	if (epoch < ep->max_epoch)
		return (412);
	if (ep->group != NULL && strcmp(ep->group, group) == 0)
		return (200);
	group_check_join(ep, group);
	group_leave(ep);
	ep->group = g_strdup(group);
	ep->epoch = epoch;
	ep->max_epoch = epoch;
	ep->state = "joining";
	ep->ready_ms = uv_now(fake_loop) + WARM_MS;
	ep->size = (unsigned)json_array_size(members);
	ep->stalled_ms = 0;
	g_free(ep->model);
	ep->model =
	    g_strdup(json_string_value(json_object_get(order, "model")));
	g_free(ep->staged);
	ep->staged = g_strdup(ep->model);
	for (size_t i = 0; i < json_array_size(members); i++) {
		if (strcmp(json_string_value(json_array_get(members, i)),
			ep->id) == 0)
			ep->rank = (int)i;
	}
	return (202);
}

/* Returns a string of an order; empty if there is none. */
static const char *
order_string(const json_t *order, const char *name)
{
	const char *word = json_string_value(json_object_get(order, name));

	return (word != NULL ? word : "");
}

/* Carries out an order; returns the status of the response. */
static unsigned
order_execute(struct fake_endpoint *ep, const json_t *order)
{
	const char *op = order_string(order, "operation");
	const char *group = order_string(order, "group");
	int64_t epoch = json_integer_value(json_object_get(order, "epoch"));
	bool mine = ep->group != NULL && strcmp(ep->group, group) == 0 &&
	    ep->epoch == epoch;
	unsigned status = 409;

	if (strcmp(op, "join") == 0) {
		status = group_join(ep, order, group, epoch);
	} else if (strcmp(op, "stage") == 0) {
		status = 202;
	} else if (mine && strcmp(op, "open") == 0 &&
	    strcmp(ep->state, "ready") == 0) {
		ep->state = "open";
		status = 202;
	} else if (mine && strcmp(op, "close") == 0) {
		ep->state = "ready";
		status = 200;
	} else if (mine && strcmp(op, "leave") == 0) {
		group_leave(ep);
		status = 200;
	}
	g_string_append_printf(fake_journal, "%s %s %u\n", ep->id, op, status);
	fake_endpoint_write_entry(ep);
	return (status);
}

static void
on_late_order_closed(uv_handle_t *handle)
{
	struct late_order *late = handle->data;

	json_decref(late->order);
	g_free(late);
}

static void
on_late_order(uv_timer_t *timer)
{
	struct late_order *late = timer->data;

	g_string_append_printf(fake_journal, "%s late\n", late->endpoint->id);
	order_execute(late->endpoint, late->order);
	uv_close((uv_handle_t *)timer, on_late_order_closed);
}

/* Returns whether an order is to be carried out late, as switches say. */
static bool
order_is_late(const struct fake_endpoint *ep, const char *op)
{
	g_autofree char *one = g_strdup_printf("late-%s-%s", op, ep->ip);
	g_autofree char *any = g_strdup_printf("late-any-%s", ep->ip);

	return (consume_switch(one) || consume_switch(any));
}

/* Handles an order to an engine. */
void
group_handle_order(struct conn *c)
{
	json_t *order =
	    json_loadb((const char *)c->body->data, c->body->len, 0, NULL);
	const char *op = order_string(order, "operation");
	struct late_order *late;

	if (!order_is_late(c->endpoint, op)) {
		conn_reply(c, order_execute(c->endpoint, order), "", "", 0);
		json_decref(order);
		return;
	}
	g_string_append_printf(fake_journal, "%s held %s\n", c->endpoint->id,
	    op);
	late = g_new0(struct late_order, 1);
	late->endpoint = c->endpoint;
	late->order = order;
	uv_timer_init(fake_loop, &late->timer);
	late->timer.data = late;
	uv_timer_start(&late->timer, on_late_order,
	    (uint64_t)get_switch("late-ms"), 0);
}

/* Updates the state of an engine's group: ready, stalled, broken. */
void
group_tick(struct fake_endpoint *ep)
{
	uint64_t now = uv_now(fake_loop);

	if (strcmp(ep->state, "joining") == 0 && now >= ep->ready_ms)
		ep->state = "ready";
	if (strcmp(ep->state, "open") != 0 || ep->rank != 0 ||
	    group_count_members(ep) == ep->size) {
		ep->stalled_ms = 0;
		return;
	}
	if (ep->stalled_ms == 0)
		ep->stalled_ms = now;
	if (now - ep->stalled_ms >= STALL_MS)
		ep->state = "broken";
}
