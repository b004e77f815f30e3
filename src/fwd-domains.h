/* How much endpoints of the own failure domain are preferred. Pure. */
#ifndef BL_FWD_DOMAINS_H
#define BL_FWD_DOMAINS_H

/**
 * struct fwd_usage - slots of several endpoints.
 * @running: requests of all daemons there
 * @slots: requests that they take at once
 */
struct fwd_usage {
	double running;
	double slots;
};

double fwd_domains_prefer(const struct fwd_usage *, const struct fwd_usage *);
double fwd_domains_prefer_first(double, double);

#endif
