/* One resource: what an operator declared, at one version. */
#ifndef BL_RESOURCE_H
#define BL_RESOURCE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct resource - an operator's declaration, as replayed from the log.
 * @key: "type/name"
 * @type: such as "deployment"
 * @name: unique within its type
 * @version: log offset of the change that made it so
 * @spec: the declaration; NULL once deleted
 */
struct resource {
	char *key;
	char *type;
	char *name;
	uint64_t version;
	json_t *spec;
};

struct resource *resource_create(const char *, const char *, uint64_t,
    json_t *);
void resource_free(struct resource *);
bool resource_exists(const struct resource *);
char *resource_key(const char *, const char *);
json_t *resource_dump(const struct resource *);
int64_t resource_int(const struct resource *, const char *, int64_t);
double resource_number(const struct resource *, const char *, double);
const char *resource_string(const struct resource *, const char *,
    const char *);

#endif
