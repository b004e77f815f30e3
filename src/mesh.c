/* Socket and timer of the exchange of state with other daemons. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "mesh.h"
#include "random.h"

static char receive_buffer[MESH_DATAGRAM_MAX + MESH_ENVELOPE_BYTES_MAX];

/* Sets the mesh's clock. The loop's time is updated first: an age that is sent
 * must not be less than the real one, even if this iteration of the loop takes
 * long or the process was suspended during it. */
static void
mesh_update_clock(struct mesh *mesh)
{
	uv_update_time(mesh->loop);
	mesh->now_ms = clock_loop_ms(mesh->loop);
}

static void
on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
	*buf = uv_buf_init(receive_buffer, sizeof receive_buffer);
}

static void
on_receive(uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
    const struct sockaddr *from, unsigned flags)
{
	struct mesh *mesh = udp->data;

	if (n <= 0 || from == NULL)
		return;
	mesh_update_clock(mesh);
	mesh_receive(mesh, buf->base, (size_t)n,
	    (const struct sockaddr_in *)(const void *)from);
}

/* Sends a datagram. One that can't be sent now is not retried: the next one
 * replaces it. */
static void
send_udp(void *arg, const struct sockaddr_in *to, const char *bytes,
    size_t length)
{
	struct mesh *mesh = arg;
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned)length);

	if (uv_udp_try_send(&mesh->udp, &buf, 1, (const struct sockaddr *)to) <
	    0)
		mesh->n_unsent++;
}

static void
on_timer(uv_timer_t *timer)
{
	struct mesh *mesh = timer->data;

	mesh_update_clock(mesh);
	mesh_round(mesh);
}

/**
 * mesh_send_now() - send this daemon's state without waiting for the next
 * round.
 * @mesh: the mesh
 */
void
mesh_send_now(struct mesh *mesh)
{
	mesh_update_clock(mesh);
	mesh_send(mesh);
}

/**
 * mesh_limit_announce() - handle a change of a limit, as told by the endpoint,
 * and announce it to the other daemons.
 * @mesh: the mesh
 * @ep: the endpoint
 */
void
mesh_limit_announce(struct mesh *mesh, struct endpoint *ep)
{
	mesh_update_clock(mesh);
	mesh_limit_changed(mesh, ep);
	mesh_send(mesh);
}

/**
 * mesh_entries_read() - distribute entries that were just read from the store.
 * @mesh: the mesh
 * @from: they were read from this store offset on
 * @end: up to this one
 * @records: the changed records, of struct store_record
 */
void
mesh_entries_read(struct mesh *mesh, uint64_t from, uint64_t end,
    const GArray *records)
{
	mesh_update_clock(mesh);
	mesh_send_entries(mesh, from, end, records);
}

/**
 * mesh_on_records_read() - choose a relay, once the records of all daemons have
 * been read.
 * @mesh: the mesh
 */
void
mesh_on_records_read(struct mesh *mesh)
{
	mesh_update_clock(mesh);
	mesh_set_records_read(mesh);
	mesh_round(mesh);
}

/**
 * mesh_open() - start to listen and to send.
 * @mesh: the mesh; registry, name, domain and capacity are filled in
 * @loop: the event loop
 * @addr: address to listen on
 *
 * Return: 0, or a libuv error.
 */
int
mesh_open(struct mesh *mesh, uv_loop_t *loop, const struct sockaddr_in *addr)
{
	int rc;

	mesh->loop = loop;
	mesh->addr = *addr;
	mesh->send_datagram = send_udp;
	mesh->send_arg = mesh;
	mesh_init(mesh, clock_loop_ms(loop), random_u64());
	uv_udp_init(loop, &mesh->udp);
	uv_timer_init(loop, &mesh->timer);
	mesh->udp.data = mesh;
	mesh->timer.data = mesh;
	rc = uv_udp_bind(&mesh->udp, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_udp_recv_start(&mesh->udp, on_alloc, on_receive);
	if (rc == 0)
		uv_timer_start(&mesh->timer, on_timer,
		    1 + random_below(MESH_ROUND_MS), MESH_ROUND_MS);
	return (rc);
}
