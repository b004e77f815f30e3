/* One resource: what an operator declared, at one version. */
#include <glib.h>

#include "resource.h"

/**
 * resource_create() - make a resource.
 * @type: its type
 * @name: its name
 * @version: offset of the change
 * @spec: the declaration, or NULL for a deleted one; a reference is taken
 */
struct resource *
resource_create(const char *type, const char *name, uint64_t version,
    json_t *spec)
{
	struct resource *res;

	res = g_new0(struct resource, 1);
	res->key = resource_key(type, name);
	res->type = g_strdup(type);
	res->name = g_strdup(name);
	res->version = version;
	res->spec = json_incref(spec);
	return (res);
}

/**
 * resource_free() - free a resource.
 * @res: the resource
 */
void
resource_free(struct resource *res)
{
	json_decref(res->spec);
	g_free(res->key);
	g_free(res->type);
	g_free(res->name);
	g_free(res);
}

/**
 * resource_exists() - whether it is declared now, rather than deleted.
 * @res: the resource, or NULL
 */
bool
resource_exists(const struct resource *res)
{
	return (res != NULL && res->spec != NULL);
}

/**
 * resource_key() - the key of a resource; free with g_free().
 * @type: its type
 * @name: its name
 */
char *
resource_key(const char *type, const char *name)
{
	return (g_strdup_printf("%s/%s", type, name));
}

/**
 * resource_dump() - the resource as JSON, as shown to operators.
 * @res: the resource
 */
json_t *
resource_dump(const struct resource *res)
{
	return (json_pack("{s:s, s:s, s:I, s:O?}", "type", res->type, "name",
	    res->name, "version", (json_int_t)res->version, "spec", res->spec));
}

/**
 * resource_int() - an integer field of the spec.
 * @res: the resource, or NULL
 * @field: name of the field
 * @fallback: value when it is absent
 */
int64_t
resource_int(const struct resource *res, const char *field, int64_t fallback)
{
	json_t *value;

	if (!resource_exists(res))
		return (fallback);
	value = json_object_get(res->spec, field);
	return (json_is_integer(value) ? json_integer_value(value) : fallback);
}

/**
 * resource_number() - a numeric field of the spec.
 * @res: the resource, or NULL
 * @field: name of the field
 * @fallback: value when it is absent
 */
double
resource_number(const struct resource *res, const char *field, double fallback)
{
	json_t *value;

	if (!resource_exists(res))
		return (fallback);
	value = json_object_get(res->spec, field);
	return (json_is_number(value) ? json_number_value(value) : fallback);
}

/**
 * resource_string() - a string field of the spec.
 * @res: the resource, or NULL
 * @field: name of the field
 * @fallback: value when it is absent
 */
const char *
resource_string(const struct resource *res, const char *field,
    const char *fallback)
{
	json_t *value;

	if (!resource_exists(res))
		return (fallback);
	value = json_object_get(res->spec, field);
	return (json_is_string(value) ? json_string_value(value) : fallback);
}
