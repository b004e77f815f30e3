/*
 * Daemons that are cut off from all endpoints of the stand-in for the users'
 * platform, told by the source address of their connections. A socket filter
 * drops the packets of new connections, as a lost link would.
 */
#include <arpa/inet.h>
#include <linux/filter.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake-platform.h"

/* Daemons that can be cut off at the same time. */
#define CUT_MAX 64
/* Offset of the source address in an IPv4 header. */
#define SOURCE_OFFSET 12

/* Values of the switch "cut-IP". */
enum cut {
	CUT_NONE,
	CUT_SILENT,
	CUT_RESET,
	CUT_NEW_ONLY,
	CUT_REFUSED,
};

/* Returns how the daemon with this address is cut off. */
static enum cut
cut_of(uint32_t ip)
{
	char text[INET_ADDRSTRLEN], name[64];

	inet_ntop(AF_INET, &ip, text, sizeof text);
	snprintf(name, sizeof name, "cut-%s", text);
	return ((enum cut)get_switch(name));
}

/* Collects the daemons whose new connections are neither accepted nor
 * refused. */
static GArray *
cut_sources(void)
{
	GArray *sources = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, fake_switches);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		enum cut cut = (enum cut)GPOINTER_TO_INT(value);
		uint32_t ip;

		if (!g_str_has_prefix(name, "cut-") || cut == CUT_NONE ||
		    cut == CUT_REFUSED || sources->len == CUT_MAX)
			continue;
		ip = ntohl(inet_addr((char *)name + strlen("cut-")));
		g_array_append_val(sources, ip);
	}
	return (sources);
}

/* Has a listening socket drop the packets of daemons that are cut off. */
void
cut_listen(const uv_tcp_t *listener)
{
	g_autoptr(GArray) sources = cut_sources();
	struct sock_filter code[2 * CUT_MAX + 2];
	struct sock_fprog program = { 0, code };
	uv_os_fd_t fd;

	if (listener == NULL ||
	    uv_fileno((const uv_handle_t *)listener, &fd) != 0)
		return;
	code[program.len++] =
	    (struct sock_filter)BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
		(uint32_t)SKF_NET_OFF + SOURCE_OFFSET);
	for (guint i = 0; i < sources->len; i++) {
		code[program.len++] =
		    (struct sock_filter)BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K,
			g_array_index(sources, uint32_t, i), 0, 1);
		code[program.len++] =
		    (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, 0);
	}
	code[program.len++] =
	    (struct sock_filter)BPF_STMT(BPF_RET | BPF_K, UINT32_MAX);
	if (setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof program) != 0) {
		perror("SO_ATTACH_FILTER");
		exit(1);
	}
}

/* Lets an accepted connection receive all packets, whatever the listener
 * drops; refuses that of a daemon whose connections are refused. */
void
cut_check_accepted(struct conn *c)
{
	int unused = 0;
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&c->stream.tcp, &fd) == 0)
		setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &unused,
		    sizeof unused);
	if (cut_of(conn_source_ip(c)) == CUT_REFUSED)
		net_stream_reset(&c->stream);
}

/* Whether an endpoint neither reads nor sends anything on a connection. */
bool
cut_silent(const struct conn *c)
{
	return (cut_of(conn_source_ip(c)) == CUT_SILENT);
}

/* Resets the connections of daemons that are cut off by resets. */
static void
cut_reset_conns(struct fake_endpoint *ep)
{
	struct conn *c, *next;

	for (c = TAILQ_FIRST(&ep->conns); c != NULL; c = next) {
		next = TAILQ_NEXT(c, entry);
		if (!c->stream.closing &&
		    cut_of(conn_source_ip(c)) == CUT_RESET)
			net_stream_reset(&c->stream);
	}
}

/* Applies the switches at all endpoints. */
void
cut_apply(void)
{
	for (guint i = 0; i < fake_endpoints->len; i++) {
		struct fake_endpoint *ep = fake_endpoints->pdata[i];

		cut_listen(ep->listener);
		cut_reset_conns(ep);
	}
}
