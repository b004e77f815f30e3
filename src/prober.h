/* Threads that probe hosts for evidence and follow the host list. */
#ifndef BL_PROBER_H
#define BL_PROBER_H

void *prober_run(void *);
void *host_list_run(void *);

#endif
