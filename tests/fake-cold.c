/*
 * Cold endpoints of the stand-in for the users' platform: for some time they
 * tolerate only few requests a second from all daemons together, and crash
 * beyond that.
 */
#include "fake-platform.h"

/* Time for the daemons to learn that an endpoint became cold. */
#define COLD_PROPAGATION_MS 2000
/* In each second: COLD_FACTOR times the tolerated rate, and COLD_EXTRA. */
#define COLD_FACTOR 1.5
#define COLD_EXTRA 5
#define COLD_WINDOW_MS 1000

/* Until when an endpoint is cold, as of its switch, and its newest requests. */
struct cold {
	const struct fake_endpoint *endpoint;
	int ms;
	uint64_t since_ms;
	GArray *arrivals;
};

static GPtrArray *colds;

/* Returns the state of an endpoint; a changed switch starts it anew. */
static struct cold *
cold_get(const struct fake_endpoint *ep)
{
	int ms = fake_endpoint_switch("cold", ep);
	struct cold *cold = NULL;

	if (colds == NULL)
		colds = g_ptr_array_new();
	for (guint i = 0; i < colds->len && cold == NULL; i++) {
		struct cold *other = colds->pdata[i];

		if (other->endpoint == ep)
			cold = other;
	}
	if (cold == NULL) {
		cold = g_new0(struct cold, 1);
		cold->endpoint = ep;
		cold->arrivals = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_ptr_array_add(colds, cold);
	}
	if (cold->ms != ms) {
		cold->ms = ms;
		cold->since_ms = uv_now(fake_loop);
		g_array_set_size(cold->arrivals, 0);
	}
	return (cold);
}

/* Returns how much longer an endpoint is cold, in ms; 0 if it is not. */
int
cold_left_ms(const struct fake_endpoint *ep)
{
	const struct cold *cold = cold_get(ep);
	uint64_t since = uv_now(fake_loop) - cold->since_ms;

	return (cold->ms > 0 && since < (uint64_t)cold->ms ?
		cold->ms - (int)since :
		0);
}

/* Counts a request; returns whether it crashes the endpoint. */
bool
cold_check(const struct conn *c)
{
	struct cold *cold = cold_get(c->endpoint);
	uint64_t now = uv_now(fake_loop);
	guint old = 0;

	if (cold_left_ms(c->endpoint) == 0 ||
	    now - cold->since_ms < COLD_PROPAGATION_MS)
		return (false);
	while (old < cold->arrivals->len &&
	    now - g_array_index(cold->arrivals, uint64_t, old) >=
		COLD_WINDOW_MS)
		old++;
	g_array_remove_range(cold->arrivals, 0, old);
	g_array_append_val(cold->arrivals, now);
	if (cold->arrivals->len <=
	    COLD_FACTOR * get_switch("cold-rate") + COLD_EXTRA)
		return (false);
	g_string_append_printf(fake_journal, "over-cold %s %u %s\n",
	    c->endpoint->id, cold->arrivals->len, c->id);
	return (true);
}
