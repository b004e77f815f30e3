/*
 * Groups of the project's stand-in for the platform (tests/fake-group.c), whose
 * servers stop work as the pages say: a head that is closed with "cancel", or
 * that leaves, breaks off the streams that it runs. Linked with the rest of the
 * stand-in in place of fake-group.c.
 */
#define group_handle_order stand_handle_order
#include "../tests/fake-group.c"
#undef group_handle_order

/* Whether an order stops the work of its group's head. */
static bool
order_stops(const struct fake_endpoint *ep, const json_t *order)
{
	const char *op = order_string(order, "operation");

	if (ep->group == NULL || ep->rank != 0 ||
	    strcmp(ep->group, order_string(order, "group")) != 0 ||
	    ep->epoch != json_integer_value(json_object_get(order, "epoch")))
		return (false);
	return (strcmp(op, "leave") == 0 ||
	    (strcmp(op, "close") == 0 &&
		strcmp(order_string(order, "close_mode"), "cancel") == 0));
}

/* Breaks off all streams that an engine runs. */
static void
engine_stop(struct fake_endpoint *ep, const char *op)
{
	struct conn *c, *next;

	for (c = TAILQ_FIRST(&ep->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (!c->streaming || c->event >= fake_stream_events() ||
		    c->stream.closing)
			continue;
		g_string_append_printf(fake_journal, "%s broke-off %s by %s\n",
		    ep->id, c->id, op);
		conn_break(c);
	}
}

void
group_handle_order(struct conn *c)
{
	json_t *order =
	    json_loadb((const char *)c->body->data, c->body->len, 0, NULL);

	if (order_stops(c->endpoint, order))
		engine_stop(c->endpoint, order_string(order, "operation"));
	json_decref(order);
	stand_handle_order(c);
}
