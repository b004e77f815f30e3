/* Asks other daemons for news, a bounded number in each round. */
#ifndef BL_GOSSIP_H
#define BL_GOSSIP_H

/* The seeds are asked in every so many rounds, so that islands meet again. */
#define GOSSIP_SEED_ROUNDS 20

void *gossip_run(void *);

#endif
