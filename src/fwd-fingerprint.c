/* Fingerprints of requests and of parts of prompts. Pure. */
#include <glib.h>
#include <string.h>

#include "fwd-fingerprint.h"

/* Precedes the input of a part, in place of a method. */
#define PART_DOMAIN "part"

/* Adds a string with its terminator, so that no two sequences of strings give
 * the same input to the hash. */
static void
sum_add_string(GChecksum *sum, const char *string)
{
	if (string == NULL)
		string = "";
	g_checksum_update(sum, (const guchar *)string,
	    (gssize)strlen(string) + 1);
}

/* Returns the first 64 bits of a hash; never 0. */
static uint64_t
sum_finish(GChecksum *sum)
{
	guint8 digest[32];
	gsize length = sizeof digest;
	uint64_t fingerprint;

	g_checksum_get_digest(sum, digest, &length);
	memcpy(&fingerprint, digest, sizeof fingerprint);
	fingerprint = GUINT64_FROM_BE(fingerprint);
	return (fingerprint != 0 ? fingerprint : 1);
}

/**
 * fwd_fingerprint_compute() - compute the fingerprint of a request.
 * @input: what identifies the request
 *
 * The fingerprint of the same request is the same at every daemon. It comes
 * from a cryptographic hash, so that no client can make a request that is taken
 * for that of another.
 *
 * Return: the fingerprint, never 0.
 */
uint64_t
fwd_fingerprint_compute(const struct fwd_fingerprint_input *input)
{
	g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);

	sum_add_string(sum, input->method);
	sum_add_string(sum, input->host);
	sum_add_string(sum, input->target);
	sum_add_string(sum, input->customer);
	if (input->length > 0)
		g_checksum_update(sum, input->body, (gssize)input->length);
	return (sum_finish(sum));
}

/**
 * fwd_fingerprint_compute_part() - compute the fingerprint of a part of
 * prompts.
 * @input: what identifies the part
 *
 * It is the same at every daemon and for every request that has the part. No
 * customer can make one that is taken for another customer's.
 *
 * Return: the fingerprint, never 0.
 */
uint64_t
fwd_fingerprint_compute_part(const struct fwd_part_input *input)
{
	g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint64 id = GUINT64_TO_BE(input->id);

	sum_add_string(sum, PART_DOMAIN);
	sum_add_string(sum, input->customer);
	sum_add_string(sum, input->service);
	sum_add_string(sum, input->model);
	g_checksum_update(sum, (const guchar *)&id, sizeof id);
	return (sum_finish(sum));
}
