/* Clean-up attribute for types that GLib and jansson do not cover. */
#ifndef BL_CLEANUP_H
#define BL_CLEANUP_H

/* Calls fn(&variable) when the variable leaves its scope. */
#define CLEANUP(fn) __attribute__((cleanup(fn)))

#endif
