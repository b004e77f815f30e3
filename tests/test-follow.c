/* Scripts over a topic that is followed, with a store that answers by hand. */
#include <string.h>
#include <syslog.h>

#include "registry-follower.h"
#include "event-log.h"
#include "script.h"

static uv_loop_t loop;
static struct topic_follower follow;
static struct store store;
static GString *told;
static store_fn *waiting;
static void *waiting_arg;

static bool
fake_newest(struct store *s, enum store_topic topic, const char *after,
    store_fn *fn, void *arg)
{
	waiting = fn;
	waiting_arg = arg;
	g_string_append(told, "asks for all\n");
	return (true);
}

static bool
fake_read(struct store *s, enum store_topic topic, uint64_t from, store_fn *fn,
    void *arg)
{
	waiting = fn;
	waiting_arg = arg;
	g_string_append_printf(told, "asks from %u\n", (unsigned)from);
	return (true);
}

static const struct store_ops fake_ops = {
	.newest = fake_newest,
	.read = fake_read,
};

static void
on_record(void *owner, const struct store_record *record)
{
	g_string_append_printf(told, "record %s\n", record->key);
}

static void
on_whole(void *owner, GHashTable *seen)
{
	g_string_append_printf(told, "whole %u\n", g_hash_table_size(seen));
}

static void
on_fresh(void *owner, uint64_t from, uint64_t end)
{
	g_string_append_printf(told, "fresh %u to %u\n", (unsigned)from,
	    (unsigned)end);
}

static const struct topic_follower_ops follow_ops = {
	.record = on_record,
	.snapshot_done = on_whole,
	.advanced = on_fresh,
};

/* Closes the follower's timer, so that the next script has a new one. */
static void
close_follow(void)
{
	if (follow.store == NULL)
		return;
	topic_follower_stop(&follow);
	uv_close((uv_handle_t *)&follow.timer, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	g_clear_pointer(&follow.snapshot_keys, g_hash_table_destroy);
	g_clear_pointer(&follow.after, g_free);
}

static void
reset(void)
{
	close_follow();
	store.ops = &fake_ops;
	g_string_truncate(told, 0);
	waiting = NULL;
	topic_follower_init(&follow, &store, &loop, TOPIC_ENDPOINTS,
	    &follow_ops, NULL);
	follow.interval_ms = 1000;
	follow.fallback_ms = 1500;
	follow.partial = true;
}

static void
say(GString *out)
{
	g_string_append(out, told->str);
	g_string_truncate(told, 0);
}

static void
exec_start(const char *rest, GString *out)
{
	topic_follower_start(&follow);
	say(out);
}

/* hold: make no calls for now; release: begin */
static void
exec_hold(const char *rest, GString *out)
{
	topic_follower_hold(&follow);
	topic_follower_start(&follow);
	say(out);
}

static void
exec_release(const char *rest, GString *out)
{
	topic_follower_release(&follow);
	say(out);
}

/* adopt END: a peer's knowledge was taken over */
static void
exec_adopt(const char *rest, GString *out)
{
	topic_follower_adopt(&follow, g_ascii_strtoull(rest, NULL, 10),
	    uv_now(&loop));
	say(out);
}

/* reader on=0|1: this daemon reads for the others */
static void
exec_reader(const char *rest, GString *out)
{
	/* The least pause between two reads is over. */
	follow.called_ms = 0;
	topic_follower_set_reader(&follow, script_number(rest, "on", 1) != 0);
	say(out);
}

/* read: something waits for what is new */
static void
exec_read(const char *rest, GString *out)
{
	follow.called_ms = 0;
	topic_follower_poll(&follow);
	say(out);
}

/* records NAME:OFFSET,... as an array */
static GArray *
records_of(const char *list)
{
	g_auto(GStrv) words = g_strsplit(list != NULL ? list : "", ",", -1);
	GArray *records = g_array_new(FALSE, TRUE, sizeof(struct store_record));

	g_array_set_clear_func(records, store_record_clear);
	for (char **w = words; *w != NULL && **w != '\0'; w++) {
		g_auto(GStrv) parts = g_strsplit(*w, ":", 2);
		struct store_record record = { 0 };

		record.key = g_strdup(parts[0]);
		record.value = g_memdup2("x", 1);
		record.length = 1;
		record.offset = g_ascii_strtoull(parts[1], NULL, 10);
		g_array_append_val(records, record);
	}
	return (records);
}

/*
 * answer end=N [records=NAME:OFFSET,...] [more=1] [refused=1] [trimmed=1]: the
 * store answers
 */
static void
exec_answer(const char *rest, GString *out)
{
	g_autofree char *list = script_word(rest, "records");
	struct store_response answer = { .records = records_of(list) };
	store_fn *fn = waiting;

	answer.end = script_number(rest, "end", 0);
	answer.sent_ms = 1;
	answer.more = script_number(rest, "more", 0) != 0;
	if (script_number(rest, "refused", 0) != 0)
		answer.result = STORE_REFUSED;
	if (script_number(rest, "trimmed", 0) != 0)
		answer.result = STORE_TRIMMED;
	waiting = NULL;
	if (fn != NULL)
		fn(waiting_arg, &answer);
	else
		g_string_append(told, "nobody asked\n");
	g_array_free(answer.records, TRUE);
	say(out);
}

/* feed from=N end=N [records=NAME:OFFSET,...]: a peer told what it read */
static void
exec_feed(const char *rest, GString *out)
{
	g_autofree char *list = script_word(rest, "records");
	g_autoptr(GArray) records = records_of(list);

	if (!topic_follower_apply(&follow, script_number(rest, "from", 0),
		script_number(rest, "end", 0), records))
		g_string_append(told, "missing\n");
	say(out);
}

/* told AGE: peers' news were complete so many milliseconds ago */
static void
exec_told(const char *rest, GString *out)
{
	follow.peer_update_ms =
	    uv_now(&loop) - g_ascii_strtoull(rest, NULL, 10);
}

/* tells: whether what is read now is told to others */
static void
exec_tells(const char *rest, GString *out)
{
	g_string_append(out, follow.relays ? "yes\n" : "no\n");
}

static void
exec_complete(const char *rest, GString *out)
{
	g_string_append(out,
	    topic_follower_complete(&follow) ? "yes\n" : "no\n");
}

static const struct script_command commands[] = {
	{ "start", exec_start },
	{ "hold", exec_hold },
	{ "release", exec_release },
	{ "adopt", exec_adopt },
	{ "reader", exec_reader },
	{ "read", exec_read },
	{ "answer", exec_answer },
	{ "feed", exec_feed },
	{ "told", exec_told },
	{ "tells", exec_tells },
	{ "complete", exec_complete },
	{ NULL, NULL },
};

int
main(void)
{
	int rc;

	event_log_open("test-follow", LOG_ERR);
	uv_loop_init(&loop);
	/* Ages are told of a clock that has run for a while. */
	loop.time = 60000;
	told = g_string_new(NULL);
	rc = script_main("follow", commands, reset);
	close_follow();
	g_string_free(told, TRUE);
	uv_loop_close(&loop);
	return (rc);
}
