/* What control costs this daemon: calls and bytes by purpose. */
#include <inttypes.h>
#include <stdatomic.h>

#include "control-traffic.h"

static _Atomic uint64_t calls[TRAFFIC_KINDS], bytes[TRAFFIC_KINDS];

/**
 * control_traffic_add() - count one call.
 * @kind: its purpose
 * @n: bytes sent and received, without those of TCP, UDP and IP
 */
void
control_traffic_add(enum traffic_kind kind, uint64_t n)
{
	atomic_fetch_add_explicit(&calls[kind], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&bytes[kind], n, memory_order_relaxed);
}

/**
 * control_traffic_print() - append the counts to the metrics page.
 * @out: the page
 */
void
control_traffic_print(GString *out)
{
	static const char *const names[] = { "probe", "peer", "log" };

	for (int k = 0; k < TRAFFIC_KINDS; k++)
		g_string_append_printf(out,
		    "banklift_control_calls{kind=\"%s\"} %" PRIu64
		    "\nbanklift_control_bytes{kind=\"%s\"} %" PRIu64 "\n",
		    names[k], (uint64_t)calls[k], names[k], (uint64_t)bytes[k]);
}
