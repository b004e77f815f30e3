/* Bytes that are compressed for another daemon (RFC 1950), with their length.
 */
#ifndef BL_DEFLATE_H
#define BL_DEFLATE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

GBytes *deflate_pack(const void *, size_t);
GBytes *deflate_unpack(const void *, size_t, size_t);

#endif
