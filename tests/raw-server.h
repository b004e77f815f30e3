/* A server that sends given bytes to each request and closes, on threads. */
#ifndef TESTS_RAW_SERVER_H
#define TESTS_RAW_SERVER_H

#include <glib.h>

int raw_server_open(const char *, int *);
void raw_server_run(int, GString *(*)(const char *, void *), void *);

#endif
