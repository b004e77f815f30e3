/* Settings of banklift-edge that change while it runs. */
#include <sys/stat.h>

#include "edge.h"
#include "event-log.h"

/* A proof that the configuration is the newest is used for this much less than
 * key-proof-ms, but for half of that at least. */
#define KEY_PROOF_MARGIN_MS 500
#define BYTES_PER_MB (1024.0 * 1024)
/* Part of the memory that may be held for clients. A body is copied once while
 * it is sent, and the kernel holds output too. */
#define HELD_SHARE 0.25

/**
 * edge_apply_settings() - pass the reloadable settings on to the parts.
 * @e: the daemon
 */
void
edge_apply_settings(struct edge *e)
{
	struct fwd_setting *set = &e->set.fwd;

	event_log_open("banklift-edge", event_log_level(e->set.log_level));
	set->domain = e->set.domain;
	set->key_proof_ms =
	    (uint64_t)MAX(e->set.key_proof_ms - KEY_PROOF_MARGIN_MS,
		e->set.key_proof_ms / 2);
	set->backoff_max_ms = (uint64_t)e->set.rest_most_ms;
	set->deny_proof_ms = (uint64_t)e->set.apply_ms;
	e->placer.stall_ms = (uint64_t)e->set.stall_ms;
	set->held_max_bytes =
	    (size_t)(e->set.memory_mb * BYTES_PER_MB * HELD_SHARE);
	e->placer.placement_demand = e->set.placement_demand;
	set->retry.window_ms = (uint64_t)(e->set.retry_window_s * 1000);
	e->fwd.set = *set;
}

/**
 * edge_reload() - read the settings again and apply them.
 * @e: the daemon
 * @reason: why, for the log
 *
 * If they are invalid, the settings in force stay.
 */
void
edge_reload(struct edge *e, const char *reason)
{
	g_autoptr(GError) error = NULL;
	struct edge_settings next;
	struct fwd_setting former;

	if (!edge_setting_parse(&next, e->argc, e->argv, &error)) {
		event_log(LOG_ERR, "reload_refused", "why=%s reason=%s", reason,
		    error->message);
		edge_setting_free(&next);
		return;
	}
	/* The settings of sockets and of the mesh only change at a restart. */
	former = e->set.fwd;
	e->set.fwd = next.fwd;
	next.fwd = former;
	e->set.key_proof_ms = next.key_proof_ms;
	e->set.apply_ms = next.apply_ms;
	e->set.drain_ms = next.drain_ms;
	e->set.grace_s = next.grace_s;
	e->set.rest_most_ms = next.rest_most_ms;
	e->set.stall_ms = next.stall_ms;
	e->set.placement_demand = next.placement_demand;
	e->set.retry_window_s = next.retry_window_s;
	g_free(e->set.log_level);
	e->set.log_level = g_steal_pointer(&next.log_level);
	edge_setting_free(&next);
	edge_apply_settings(e);
	event_log(LOG_NOTICE, "reloaded", "why=%s", reason);
}

/* Returns the modification time of a file; 0 if it can't be read. */
static uint64_t
file_mtime_ns(const char *path)
{
	struct stat st;

	if (path[0] == '\0' || stat(path, &st) != 0)
		return (0);
	return ((uint64_t)st.st_mtim.tv_sec * 1000000000u +
	    (uint64_t)st.st_mtim.tv_nsec);
}

/**
 * edge_note_file() - note the settings file that was read at the start.
 * @e: the daemon
 */
void
edge_note_file(struct edge *e)
{
	e->file_changed_ns = file_mtime_ns(e->set.config);
}

/**
 * edge_check_file() - read the settings again if their file has changed.
 * @e: the daemon
 */
void
edge_check_file(struct edge *e)
{
	uint64_t changed = file_mtime_ns(e->set.config);

	if (changed == 0 || changed == e->file_changed_ns)
		return;
	e->file_changed_ns = changed;
	edge_reload(e, "file_changed");
}
