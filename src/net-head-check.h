/* What is a response in HTTP/1.1 (RFC 9110, RFC 9112). Pure. */
#ifndef BL_NET_HEAD_CHECK_H
#define BL_NET_HEAD_CHECK_H

#include "net-head.h"

/* Bytes at the start of a status line that are checked: the version, the
 * status, and what ends it. */
#define NET_STATUS_LINE_BYTES 13

/**
 * enum net_head_kind - what the head of a message is.
 * @NET_HEAD_INVALID: not the head of a response
 * @NET_HEAD_INTERIM: that of an interim response; the final one follows
 * @NET_HEAD_FINAL: that of the response to the request
 */
enum net_head_kind {
	NET_HEAD_INVALID,
	NET_HEAD_INTERIM,
	NET_HEAD_FINAL,
};

bool net_status_line_valid(unsigned, const char *, size_t);
enum net_head_kind net_head_check(const struct net_head *, const http_parser *,
    const char **);
bool net_status_valid(unsigned);
bool net_status_has_body(unsigned);

#endif
