/* Random sample of items that are seen one after another. */
#ifndef BL_RANDOM_SAMPLE_H
#define BL_RANDOM_SAMPLE_H

/**
 * struct random_sample - which of the items seen so far are kept.
 * @max: items that are kept at most
 * @n: items that are kept
 * @n_seen: items seen so far
 *
 * Each item that was seen is kept with the same probability.
 */
struct random_sample {
	unsigned max;
	unsigned n;
	unsigned n_seen;
};

unsigned random_sample_place(struct random_sample *);

#endif
