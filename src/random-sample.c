/* Random sample of items that are seen one after another. */
#include "random-sample.h"
#include "random.h"

/**
 * random_sample_place() - where to keep the next item.
 * @sample: the sample
 *
 * Return: index of its place, which another item may have had; @max if the item
 * isn't kept.
 */
unsigned
random_sample_place(struct random_sample *sample)
{
	unsigned at;

	sample->n_seen++;
	if (sample->n < sample->max)
		return (sample->n++);
	at = random_below(sample->n_seen);
	return (at < sample->max ? at : sample->max);
}
