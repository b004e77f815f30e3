/* Event log: one line of key=value pairs per event. */
#ifndef BL_EVENT_LOG_H
#define BL_EVENT_LOG_H

#include <glib.h>
#include <syslog.h>

void event_log_open(const char *, int);
void event_log(int, const char *, const char *, ...) G_GNUC_PRINTF(3, 4);
void log_debug(const char *, const char *, ...) G_GNUC_PRINTF(2, 3);
char *event_log_quote(const char *);
int event_log_level(const char *);
void event_log_buffer(int);
void event_log_flush(void);
void event_log_flush_notices(void);

#endif
