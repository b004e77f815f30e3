/*
 * Event log: one line of key=value pairs per event. Lines are written to
 * standard error at once or, after event_log_buffer(), through a bounded
 * buffer, so that logging never blocks.
 */
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <fcntl.h>
#include <string.h>
#include <time.h>
#include <sys/uio.h>
#include <unistd.h>

#include "clock.h"
#include "event-log.h"

/* Capacity of the buffer: some 400 lines of 300 bytes each. */
#define BUFFER_BYTES 131072
/* Lines accepted per second: above the first limit only those of level notice
 * and worse, above the second none. One line per request stays well below the
 * first limit. */
#define LINES_PER_S_MAX 400
#define LINES_PER_S_MAX_NOTICE 1000

static const char *const level_names[] = { "emerg", "alert", "crit", "err",
	"warning", "notice", "info", "debug" };
static const char *log_program = "banklift";
static int log_level = LOG_INFO;

/* The buffer; a single thread fills and flushes it. */
static struct {
	int fd;
	char *bytes;
	size_t used;
	uint64_t second;
	unsigned lines;
	uint64_t dropped;
	bool has_notice;
} log_buffer = { .fd = -1 };

/**
 * event_log_open() - set the program name and the highest level shown.
 * @program: name shown in each line; not copied, so it must stay valid
 * @level: LOG_EMERG to LOG_DEBUG
 */
void
event_log_open(const char *program, int level)
{
	log_program = program;
	log_level = level;
}

/**
 * event_log_level() - syslog level of a level name.
 * @name: such as "info"
 *
 * Return: a syslog level, or -1 for an unknown name.
 */
int
event_log_level(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (strcmp(level_names[i], name) == 0)
			return ((int)i);
	}
	return (-1);
}

/* Wall-clock time for readers of the log; decisions use clock.h instead. */
static long long
wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ((long long)ts.tv_sec * 1000 + ts.tv_nsec / 1000000);
}

/* Whether one more line of this level is within the limits per second. */
static bool
buffer_admits(int level)
{
	uint64_t second = clock_now_ms() / 1000;

	if (second != log_buffer.second) {
		log_buffer.second = second;
		log_buffer.lines = 0;
	}
	log_buffer.lines++;
	return (log_buffer.lines <=
	    (level <= LOG_NOTICE ? LINES_PER_S_MAX_NOTICE : LINES_PER_S_MAX));
}

/* Adds a line to the buffer, or counts it as dropped. */
static void
buffer_add(int level, const char *line, size_t length)
{
	if (!buffer_admits(level) || log_buffer.used + length > BUFFER_BYTES) {
		log_buffer.dropped++;
		return;
	}
	memcpy(log_buffer.bytes + log_buffer.used, line, length);
	log_buffer.used += length;
	log_buffer.has_notice |= level <= LOG_NOTICE;
}

/**
 * event_log_buffer() - buffer lines from now on until event_log_flush().
 * @fd: descriptor to which they are written; made non-blocking
 *
 * Only for programs that log from a single thread.
 */
void
event_log_buffer(int fd)
{
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	log_buffer.bytes = g_malloc(BUFFER_BYTES);
	log_buffer.fd = fd;
}

/**
 * event_log_flush() - write as much of the buffer as possible without blocking.
 */
void
event_log_flush(void)
{
	uint64_t dropped = log_buffer.dropped;
	ssize_t n;

	if (log_buffer.fd < 0)
		return;
	log_buffer.has_notice = false;
	if (dropped > 0 && log_buffer.used < BUFFER_BYTES / 2) {
		log_buffer.dropped = 0;
		event_log(LOG_WARNING, "lines_dropped", "count=%llu",
		    (unsigned long long)dropped);
	}
	if (log_buffer.used == 0)
		return;
	n = write(log_buffer.fd, log_buffer.bytes, log_buffer.used);
	if (n <= 0)
		return;
	log_buffer.used -= (size_t)n;
	memmove(log_buffer.bytes, log_buffer.bytes + n, log_buffer.used);
}

/**
 * event_log_flush_notices() - flush if a line of level notice or worse waits.
 *
 * For the end of each turn of an event loop: these lines tell why a client got
 * no complete response, and are not lost if the process is killed next.
 */
void
event_log_flush_notices(void)
{
	if (log_buffer.has_notice)
		event_log_flush();
}

/* Buffers a line, or writes it by a single write(2), so that the lines of
 * several threads do not mix. */
static void
event_log_write(int level, const char *event, const char *fmt, va_list ap)
{
	char line[2048];
	int n, m;

	n = snprintf(line, sizeof line, "<%d>%s[%d]: level=%s at=%lld event=%s",
	    level, log_program, (int)getpid(), level_names[level], wall_ms(),
	    event);
	if (fmt[0] != '\0') {
		line[n++] = ' ';
		m = vsnprintf(line + n, sizeof line - n - 1, fmt, ap);
		n = MIN(n + m, (int)sizeof line - 2);
	}
	line[n++] = '\n';
	if (log_buffer.fd >= 0)
		buffer_add(level, line, (size_t)n);
	else if (write(STDERR_FILENO, line, n) < 0)
		return;
}

/**
 * event_log() - log one event.
 * @level: syslog level
 * @event: stable name of the event
 * @fmt: printf format of key=value pairs; untrusted values are first passed
 *	through event_log_quote()
 */
void
event_log(int level, const char *event, const char *fmt, ...)
{
	va_list ap;

	if (level > log_level)
		return;
	va_start(ap, fmt);
	event_log_write(level, event, fmt, ap);
	va_end(ap);
}

/**
 * log_debug() - log one event at debug level.
 * @event: stable name of the event
 * @fmt: printf format of key=value pairs
 */
void
log_debug(const char *event, const char *fmt, ...)
{
	va_list ap;

	if (log_level < LOG_DEBUG)
		return;
	va_start(ap, fmt);
	event_log_write(LOG_DEBUG, event, fmt, ap);
	va_end(ap);
}

/**
 * event_log_quote() - quote an untrusted value for a log line.
 * @value: any string
 *
 * Return: the value in double quotes with escapes; free with g_free().
 */
char *
event_log_quote(const char *value)
{
	g_autofree char *escaped = NULL;

	escaped = g_strescape(value != NULL ? value : "", NULL);
	return (g_strdup_printf("\"%s\"", escaped));
}
