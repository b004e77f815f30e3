/* The head of an HTTP message: request target and headers in one buffer. */
#ifndef BL_NET_HEAD_H
#define BL_NET_HEAD_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/* Larger buffers of connections are freed when they are empty. */
#define NET_BUFFER_KEPT_BYTES 4096
/* Largest number of headers in a message; a request has about a dozen. */
#define NET_HEAD_FIELDS_MAX 100

/**
 * struct net_field - one header, as offsets into the text of its head.
 * @name: offset of the name
 * @value: offset of the value
 */
struct net_field {
	unsigned name;
	unsigned value;
};

/**
 * struct net_head - a head that is being parsed or is complete.
 * @text: the target and all names and values, each ended by a NUL byte
 * @target_length: bytes of the target at the start of @text
 * @fields: the headers in the order in which they arrived
 * @n_fields: length of @fields in use
 * @in_value: the parser is inside a value
 * @too_large: the message has more headers than fit into @fields
 */
struct net_head {
	GString *text;
	unsigned target_length;
	struct net_field fields[NET_HEAD_FIELDS_MAX];
	unsigned n_fields;
	bool in_value;
	bool too_large;
};

/**
 * net_head_name_valid() - whether bytes of a name may stand there.
 * @at: the bytes
 * @length: number of bytes
 *
 * http_parser accepts a space in a name; other parsers would read it as another
 * name.
 */
static inline bool
net_head_name_valid(const char *at, size_t length)
{
	return (memchr(at, ' ', length) == NULL);
}

void net_head_init(struct net_head *);
void net_head_clear(struct net_head *);
void net_head_reset(struct net_head *);
void net_head_release(struct net_head *);
void net_string_release(GString **);
void net_head_add_target(struct net_head *, const char *, size_t);
void net_head_add_name(struct net_head *, const char *, size_t);
void net_head_add_value(struct net_head *, const char *, size_t);
void net_head_close_value(struct net_head *);
const char *net_head_target(const struct net_head *);
const char *net_head_name(const struct net_head *, unsigned);
const char *net_head_value(const struct net_head *, unsigned);
const char *net_head_find(const struct net_head *, const char *);
unsigned net_head_count(const struct net_head *, const char *);
double net_head_parse_decimal(const char *);
bool net_head_hop_by_hop(const struct net_head *, unsigned);

#endif
