/* Fingerprint of a request, the same for each attempt at it. Pure. */
#include <glib.h>
#include <string.h>

#include "fwd-fingerprint.h"

/* Adds a string with its terminator, so that no two sequences of strings give
 * the same input to the hash. */
static void
sum_word(GChecksum *sum, const char *word)
{
	if (word == NULL)
		word = "";
	g_checksum_update(sum, (const guchar *)word, (gssize)strlen(word) + 1);
}

/**
 * fwd_fingerprint_compute() - compute the fingerprint of a request.
 * @key: what identifies the request
 *
 * The fingerprint of the same request is the same at every daemon. It comes
 * from a cryptographic hash, so that no client can make a request that is taken
 * for that of another.
 *
 * Return: the fingerprint, never 0.
 */
uint64_t
fwd_fingerprint_compute(const struct fwd_fingerprint_input *key)
{
	g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize length = sizeof digest;
	uint64_t work;

	sum_word(sum, key->method);
	sum_word(sum, key->host);
	sum_word(sum, key->target);
	sum_word(sum, key->customer);
	if (key->length > 0)
		g_checksum_update(sum, key->body, (gssize)key->length);
	g_checksum_get_digest(sum, digest, &length);
	memcpy(&work, digest, sizeof work);
	work = GUINT64_FROM_BE(work);
	return (work != 0 ? work : 1);
}
