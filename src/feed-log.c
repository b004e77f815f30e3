/* The newest datagrams of entries, kept for daemons that missed one. */
#include <string.h>

#include "feed-log.h"

/* Largest total length of the datagrams: a burst of the entries of a thousand
 * endpoints. */
#define LOG_BYTES_MAX (512 * 1024)
/* Largest number of datagrams. */
#define LOG_MAX 1024
/* Within this time a datagram that says once more that nothing has changed
 * tells nothing new, and one without a stamp is a duplicate that took another
 * path. */
#define DUPLICATE_MS 100

/**
 * feed_log_init() - initialize an empty log.
 * @log: the log
 */
void
feed_log_init(struct feed_log *log)
{
	TAILQ_INIT(&log->datagrams);
	log->n = 0;
	log->bytes = 0;
}

static void
log_drop_oldest(struct feed_log *log)
{
	struct feed_datagram *oldest = TAILQ_FIRST(&log->datagrams);

	TAILQ_REMOVE(&log->datagrams, oldest, entry);
	log->n--;
	log->bytes -= oldest->length;
	g_free(oldest->bytes);
	g_free(oldest);
}

/**
 * feed_log_clear() - free all datagrams.
 * @log: the log
 */
void
feed_log_clear(struct feed_log *log)
{
	while (log->n > 0)
		log_drop_oldest(log);
}

/* Whether a datagram is the kept one, which another path or a resend may bring
 * again. */
static bool
is_same(const struct feed_datagram *kept, const struct mesh_entries *entries,
    uint64_t now_ms)
{
	if (kept->from != entries->from || kept->end != entries->end)
		return (false);
	if (kept->from == kept->end || kept->stamp.incarnation == 0)
		return (now_ms - kept->saved_ms < DUPLICATE_MS);
	return (kept->stamp.incarnation == entries->stamp.incarnation &&
	    kept->stamp.sent_ms == entries->stamp.sent_ms);
}

/**
 * feed_log_add() - save a datagram, unless it is there.
 * @log: the log
 * @entries: its content
 * @bytes: the datagram
 * @length: its length
 * @now_ms: loop time
 *
 * Return: whether it is new.
 */
bool
feed_log_add(struct feed_log *log, const struct mesh_entries *entries,
    const char *bytes, size_t length, uint64_t now_ms)
{
	struct feed_datagram *datagram;

	TAILQ_FOREACH_REVERSE(datagram, &log->datagrams, feed_datagram_list,
	    entry)
	{
		if (is_same(datagram, entries, now_ms))
			return (false);
	}
	datagram = g_new0(struct feed_datagram, 1);
	datagram->from = entries->from;
	datagram->end = entries->end;
	datagram->stamp = entries->stamp;
	datagram->saved_ms = now_ms;
	datagram->bytes = g_memdup2(bytes, length);
	datagram->length = length;
	TAILQ_INSERT_TAIL(&log->datagrams, datagram, entry);
	log->n++;
	log->bytes += length;
	while (log->n > LOG_MAX || log->bytes > LOG_BYTES_MAX)
		log_drop_oldest(log);
	return (true);
}
