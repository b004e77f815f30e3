/* Which of several suspects is to blame for a crash. Does no I/O. */
#include <glib.h>

#include "registry-poison.h"

/* Whether another suspect that has no more crashes may be to blame for them. */
static bool
suspects_tie(const struct poison_suspect *suspect,
    const struct poison_suspect *other)
{
	if (suspect->part && other->part)
		return (true);
	return (suspect->part != other->part &&
	    other->n_crashes == suspect->n_crashes);
}

static bool
keys_have(const struct poison_keys *keys, uint64_t fingerprint)
{
	for (unsigned i = 0; keys != NULL && i < keys->n; i++) {
		if (keys->key[i].fingerprint == fingerprint)
			return (true);
	}
	return (false);
}

/* Notes which crashes of a suspect another one may be to blame for. */
static void
blame_other(const struct poison_suspect *suspect,
    const struct poison_suspect *other, enum poison_blame *blames)
{
	bool explains = other->n_crashes > suspect->n_crashes;

	if (!explains && !suspects_tie(suspect, other))
		return;
	for (unsigned i = 0; i < suspect->n_crashes; i++) {
		if (poison_suspect_find(other, &suspect->crashes[i]) == NULL)
			continue;
		blames[i] = MAX(blames[i],
		    explains ? POISON_BLAME_OTHER : POISON_BLAME_TIED);
	}
}

/**
 * poison_blame() - find the crashes of a suspect that others may be to blame
 *	for.
 * @poison: the table
 * @suspect: the suspect
 * @keys: what else the request has that is to be sent: it excuses nothing; NULL
 *	for none
 * @blames: filled in, for each crash
 *
 * Only suspects with enough crashes for quarantine are to blame for others'.
 */
void
poison_blame(const struct poison *poison, const struct poison_suspect *suspect,
    const struct poison_keys *keys, enum poison_blame *blames)
{
	const struct poison_suspect *other;

	for (unsigned i = 0; i < suspect->n_crashes; i++)
		blames[i] = POISON_BLAME_OWN;
	TAILQ_FOREACH(other, &poison->suspects, entry) {
		if (other->n_crashes < POISON_QUARANTINE_CRASHES ||
		    other == suspect || keys_have(keys, other->fingerprint))
			continue;
		blame_other(suspect, other, blames);
	}
}
