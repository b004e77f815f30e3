/* Bytes that are compressed for another daemon (RFC 1950), with their length.
 */
#include <stdint.h>
#include <string.h>
#include <zlib.h>

#include "deflate.h"

/* Before the compressed bytes: length of the original, in network order. */
#define LENGTH_BYTES 4
/* Largest original: it must fit into an array of GLib's. */
#define LENGTH_MAX ((size_t)1 << 30)

/* An array of some length, for output. */
static GByteArray *
output_new(size_t length)
{
	GByteArray *out = g_byte_array_new();

	g_byte_array_set_size(out, (guint)length);
	return (out);
}

/* Returns the first bytes of the output, or NULL if there was an error. */
static GBytes *
output_take(GByteArray *out, size_t length, bool ok)
{
	if (!ok) {
		g_byte_array_unref(out);
		return (NULL);
	}
	g_byte_array_set_size(out, (guint)length);
	return (g_byte_array_free_to_bytes(out));
}

/**
 * deflate_pack() - compress bytes, fast rather than small.
 * @bytes: the bytes
 * @length: number of bytes
 *
 * Return: the compressed bytes, or NULL if they are too many or there is no
 * memory.
 */
GBytes *
deflate_pack(const void *bytes, size_t length)
{
	uLongf packed = compressBound((uLong)length);
	uint32_t word = GUINT32_TO_BE((uint32_t)length);
	GByteArray *out;
	int rc;

	if (length > LENGTH_MAX)
		return (NULL);
	out = output_new(LENGTH_BYTES + packed);
	memcpy(out->data, &word, LENGTH_BYTES);
	rc = compress2(out->data + LENGTH_BYTES, &packed, bytes, (uLong)length,
	    Z_BEST_SPEED);
	return (output_take(out, LENGTH_BYTES + packed, rc == Z_OK));
}

/**
 * deflate_unpack() - reverse deflate_pack().
 * @bytes: the compressed bytes
 * @length: number of bytes
 * @max: largest original
 *
 * Return: the original, or NULL if it is too large or the bytes are no result
 * of deflate_pack().
 */
GBytes *
deflate_unpack(const void *bytes, size_t length, size_t max)
{
	const guint8 *in = bytes;
	GByteArray *out;
	uint32_t word;
	uLongf unpacked;
	int rc;

	if (length < LENGTH_BYTES)
		return (NULL);
	memcpy(&word, in, LENGTH_BYTES);
	word = GUINT32_FROM_BE(word);
	if (word > MIN(max, LENGTH_MAX))
		return (NULL);
	unpacked = word;
	out = output_new(word);
	rc = uncompress(out->data, &unpacked, in + LENGTH_BYTES,
	    (uLong)(length - LENGTH_BYTES));
	return (output_take(out, word, rc == Z_OK && unpacked == word));
}
