/* Gossip among daemons: queries a bounded number of them in each round. */
#ifndef BL_GOSSIP_H
#define BL_GOSSIP_H

/*
 * Period, in rounds, of queries to the seed peers, so that separated groups
 * of daemons find each other again.
 */
#define GOSSIP_SEED_ROUNDS 20

void *gossip_run(void *);

#endif
