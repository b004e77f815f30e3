/* What a request asks for, whatever its attempt is called. Pure. */
#include <glib.h>
#include <string.h>

#include "fwd-fingerprint.h"

/* A word with its end, so that no two lists of words run into one. */
static void
sum_word(GChecksum *sum, const char *word)
{
	if (word == NULL)
		word = "";
	g_checksum_update(sum, (const guchar *)word, (gssize)strlen(word) + 1);
}

/**
 * fwd_fingerprint_compute() - the same for the same work, at every daemon.
 * @key: the work
 *
 * A cryptographic hash, so that no caller can make a request that is taken for
 * another's. Never 0.
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
