/* Shared by the stand-ins: an HTTP server, faults and a journal. */
#ifndef TESTS_FAULT_H
#define TESTS_FAULT_H

#include <stdbool.h>
#include <stdint.h>
#include <ulfius.h>

int64_t fault_get(const char *);
bool fault_consume(const char *);
void fault_sleep(const char *);
int fault_drop_connection(struct _u_response *);
int fault_endless(struct _u_response *);
int fault_backoff(struct _u_response *);
int standin_main(int, char **, void (*)(struct _u_instance *));
void standin_add_handler(struct _u_instance *, const char *, const char *,
    int (*)(const struct _u_request *, struct _u_response *, void *));
void standin_reply(struct _u_response *, int, json_t *);
const char *standin_arg(int);
void journal_add(const char *);

#endif
