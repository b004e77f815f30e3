/* Datagrams between the daemons of a model. */
#include "fleet-model-daemon.h"

/* A datagram in flight. */
struct model_datagram {
	unsigned from;
	unsigned to;
	char *bytes;
	size_t length;
};

/**
 * fleet_model_address() - address of a daemon.
 * @index: the daemon's index
 */
struct sockaddr_in
fleet_model_address(unsigned index)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };

	addr.sin_addr.s_addr = htonl(index + 1);
	addr.sin_port = htons(1);
	return (addr);
}

static void
datagram_free(void *data)
{
	struct model_datagram *d = data;

	g_free(d->bytes);
	g_free(d);
}

/**
 * fleet_model_datagrams() - create an empty list of datagrams in flight.
 */
GPtrArray *
fleet_model_datagrams(void)
{
	return (g_ptr_array_new_with_free_func(datagram_free));
}

/**
 * fleet_model_send() - send a datagram that arrives in the next millisecond.
 * @arg: the daemon that sends it
 * @to: address of a daemon
 * @bytes: the datagram
 * @length: its length
 */
void
fleet_model_send(void *arg, const struct sockaddr_in *to, const char *bytes,
    size_t length)
{
	struct model_daemon *daemon = arg;
	struct fleet_model *model = daemon->model;
	struct model_datagram *d = g_new(struct model_datagram, 1);

	daemon->sent++;
	daemon->sent_bytes += length;
	d->from = daemon->index;
	d->to = ntohl(to->sin_addr.s_addr) - 1;
	d->bytes = g_memdup2(bytes, length);
	d->length = length;
	g_ptr_array_add(model->in_flight, d);
}

/**
 * fleet_model_deliver() - deliver the datagrams sent in the previous
 *	millisecond.
 * @model: the model
 */
void
fleet_model_deliver(struct fleet_model *model)
{
	GPtrArray *now = model->in_flight;

	model->in_flight = fleet_model_datagrams();
	for (guint i = 0; i < now->len; i++) {
		struct model_datagram *d = now->pdata[i];
		struct sockaddr_in from = fleet_model_address(d->from);
		struct model_daemon *to;

		if (d->to >= model->n ||
		    fleet_model_random(model, 1000) < model->loss)
			continue;
		to = &model->daemons[d->to];
		if (!to->up ||
		    model->cut[model->daemons[d->from].domain][to->domain])
			continue;
		to->received++;
		to->received_bytes += d->length;
		to->mesh.now_ms = fleet_model_clock(to);
		mesh_receive(&to->mesh, d->bytes, d->length, &from);
	}
	g_ptr_array_free(now, TRUE);
}
