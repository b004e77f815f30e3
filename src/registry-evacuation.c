/* Failure domains whose endpoints the operator has asked to send nothing to.
 * Pure functions. */
#include <string.h>

#include "registry-evacuation.h"

/* Index of a failure domain; the number of them if it is not evacuated. */
static uint32_t
evacuations_find(const struct evacuations *e, const char *domain)
{
	uint32_t i = 0;

	while (i < e->n && strcmp(e->domains[i], domain) != 0)
		i++;
	return (i);
}

/**
 * evacuations_has() - whether a failure domain is evacuated.
 * @e: the evacuated failure domains
 * @domain: its name, or NULL
 */
bool
evacuations_has(const struct evacuations *e, const char *domain)
{
	return (domain != NULL && evacuations_find(e, domain) < e->n);
}

/**
 * evacuations_add() - add a failure domain.
 * @e: the evacuated failure domains
 * @domain: its name
 *
 * Return: whether it was added, or why not.
 */
enum evacuation_result
evacuations_add(struct evacuations *e, const char *domain)
{
	size_t length = strlen(domain);

	if (length == 0 || length >= EVACUATED_NAME_MAX)
		return (EVACUATION_BAD_NAME);
	if (evacuations_has(e, domain))
		return (EVACUATION_ADDED);
	if (e->n == EVACUATED_MAX)
		return (EVACUATION_FULL);
	memcpy(e->domains[e->n++], domain, length + 1);
	return (EVACUATION_ADDED);
}

/**
 * evacuations_remove() - remove a failure domain.
 * @e: the evacuated failure domains
 * @domain: its name
 */
void
evacuations_remove(struct evacuations *e, const char *domain)
{
	uint32_t at = evacuations_find(e, domain);

	if (at == e->n)
		return;
	e->n--;
	if (at < e->n)
		memcpy(e->domains[at], e->domains[e->n], EVACUATED_NAME_MAX);
}

/**
 * evacuations_copy() - copy, without the unused part of the array.
 * @to: overwritten
 * @from: the evacuated failure domains
 */
void
evacuations_copy(struct evacuations *to, const struct evacuations *from)
{
	to->as_of = from->as_of;
	to->n = from->n;
	memcpy(to->domains, from->domains, from->n * EVACUATED_NAME_MAX);
}

/**
 * evacuation_result_name() - name of a result, for logs.
 * @result: the result
 */
const char *
evacuation_result_name(enum evacuation_result result)
{
	static const char *const names[] = { "added", "bad_name", "too_many" };

	return (names[result]);
}
