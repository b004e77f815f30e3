/* Validation of resources before a change is written and again at replay. */
#ifndef BL_RESOURCE_CHECK_H
#define BL_RESOURCE_CHECK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

struct state;

bool resource_check_name(const char *, GError **);
bool resource_check_spec(const char *, json_t *, GError **);
bool resource_check_references(const struct state *, const char *, json_t *,
    GError **);
bool resource_check_unreferenced(const struct state *, const char *,
    const char *, GError **);

#endif
