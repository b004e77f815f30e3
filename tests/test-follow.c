/* Scripted tests of the topic follower, with a fake store. */
#include <string.h>
#include <syslog.h>

#include "registry-follower.h"
#include "event-log.h"
#include "script.h"

static uv_loop_t loop;
static struct topic_follower follower;
static struct store store;
static GString *printed;
static store_fn *pending_fn;
static void *pending_arg;
static bool answering;

static bool
fake_newest(struct store *s, enum store_topic topic, const char *after,
    store_fn *fn, void *arg)
{
	pending_fn = fn;
	pending_arg = arg;
	g_string_append(printed, "reads all\n");
	return (true);
}

static bool
fake_read(struct store *s, enum store_topic topic, uint64_t from, store_fn *fn,
    void *arg)
{
	pending_fn = fn;
	pending_arg = arg;
	g_string_append_printf(printed, "reads from %u\n", (unsigned)from);
	return (true);
}

static const struct store_ops fake_ops = {
	.newest = fake_newest,
	.read = fake_read,
};

static void
on_record(void *owner, const struct store_record *record)
{
	g_string_append_printf(printed, "record %s%s\n", record->key,
	    answering && topic_follower_overtaken(&follower, record) ?
		" again" :
		"");
}

static void
on_snapshot_done(void *owner, GHashTable *seen)
{
	g_string_append_printf(printed, "snapshot %u\n",
	    g_hash_table_size(seen));
}

static void
on_advanced(void *owner, uint64_t from, uint64_t end)
{
	bool dated = follower.more || follower.proof_ms >= follower.records_ms;

	g_string_append_printf(printed, "advanced %u to %u%s\n", (unsigned)from,
	    (unsigned)end, dated ? "" : " as of before");
}

static const struct topic_follower_ops follow_ops = {
	.record = on_record,
	.snapshot_done = on_snapshot_done,
	.advanced = on_advanced,
};

/* Closes the follower's timer, so that the next script gets a new one. */
static void
close_follower(void)
{
	if (follower.store == NULL)
		return;
	topic_follower_stop(&follower);
	uv_close((uv_handle_t *)&follower.timer, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	topic_follower_clear(&follower);
}

static void
reset(void)
{
	close_follower();
	store.ops = &fake_ops;
	g_string_truncate(printed, 0);
	pending_fn = NULL;
	topic_follower_init(&follower, &store, &loop, TOPIC_ENDPOINTS,
	    &follow_ops, NULL);
	follower.interval_ms = 1000;
	follower.fallback_ms = 1500;
	follower.partial = true;
}

static void
flush(GString *out)
{
	g_string_append(out, printed->str);
	g_string_truncate(printed, 0);
}

static void
exec_start(const char *rest, GString *out)
{
	topic_follower_start(&follower);
	flush(out);
}

/* hold: make no calls for now; release: start to follow the topic */
static void
exec_hold(const char *rest, GString *out)
{
	topic_follower_hold(&follower);
	topic_follower_start(&follower);
	flush(out);
}

static void
exec_release(const char *rest, GString *out)
{
	topic_follower_release(&follower);
	flush(out);
}

/* adopt END: a peer's snapshot was applied */
static void
exec_adopt(const char *rest, GString *out)
{
	topic_follower_adopt(&follower, g_ascii_strtoull(rest, NULL, 10),
	    uv_now(&loop));
	flush(out);
}

/* reader on=0|1: this daemon starts or stops to read for the others */
static void
exec_reader(const char *rest, GString *out)
{
	/* The least time between two reads has passed. */
	follower.called_ms = 0;
	topic_follower_set_reader(&follower, script_number(rest, "on", 1) != 0);
	flush(out);
}

/* poll: something waits for new records */
static void
exec_poll(const char *rest, GString *out)
{
	follower.called_ms = 0;
	topic_follower_poll(&follower);
	flush(out);
}

/* Parses records NAME:OFFSET,... into an array. */
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
 * answer end=N [records=NAME:OFFSET,...] [sent=MS] [more=1] [refused=1]
 * [trimmed=1]: the store answers a call that was sent at that time; a record
 * that peers told already is to be relayed again, as not all may have it
 */
static void
exec_answer(const char *rest, GString *out)
{
	g_autofree char *list = script_word(rest, "records");
	struct store_response response = { .records = records_of(list) };
	store_fn *fn = pending_fn;

	response.end = script_number(rest, "end", 0);
	response.sent_ms = script_number(rest, "sent", 1);
	response.more = script_number(rest, "more", 0) != 0;
	if (script_number(rest, "refused", 0) != 0)
		response.result = STORE_REFUSED;
	if (script_number(rest, "trimmed", 0) != 0)
		response.result = STORE_TRIMMED;
	pending_fn = NULL;
	answering = true;
	if (fn != NULL)
		fn(pending_arg, &response);
	else
		g_string_append(printed, "no call pending\n");
	answering = false;
	g_array_free(response.records, TRUE);
	flush(out);
}

/*
 * apply from=N end=N [records=NAME:OFFSET,...] [age=MS] [took=MS]: a peer sent
 * what it read, with a call that long ago, which took that time
 */
static void
exec_apply(const char *rest, GString *out)
{
	g_autofree char *list = script_word(rest, "records");
	g_autoptr(GArray) records = records_of(list);

	const struct topic_update update = {
		.from = script_number(rest, "from", 0),
		.end = script_number(rest, "end", 0),
		.as_of_ms = uv_now(&loop) - script_number(rest, "age", 0),
		.took_ms = (unsigned)script_number(rest, "took", 0),
		.records = records,
	};

	if (!topic_follower_apply(&follower, &update))
		g_string_append(printed, "missing\n");
	flush(out);
}

/* updated AGE: updates from peers were complete this many milliseconds ago */
static void
exec_updated(const char *rest, GString *out)
{
	follower.peer_update_ms =
	    uv_now(&loop) - g_ascii_strtoull(rest, NULL, 10);
}

/* age: age of the local copy */
static void
exec_age(const char *rest, GString *out)
{
	g_string_append_printf(out, "%u ms\n",
	    (unsigned)topic_follower_copy_age(&follower, uv_now(&loop)));
}

/* next: all records before this offset are known */
static void
exec_next(const char *rest, GString *out)
{
	g_string_append_printf(out, "%u\n", (unsigned)follower.next);
}

/* retry-ms MS: longest pause after a failed read */
static void
exec_retry_ms(const char *rest, GString *out)
{
	follower.retry_ms = (unsigned)g_ascii_strtoull(rest, NULL, 10);
}

/* pause MS: whether the next read begins within this time */
static void
exec_pause(const char *rest, GString *out)
{
	g_string_append(out,
	    uv_timer_get_due_in(&follower.timer) <=
		    g_ascii_strtoull(rest, NULL, 10) ?
		"within\n" :
		"longer\n");
}

/* relays: whether the records of this read are relayed to peers */
static void
exec_relays(const char *rest, GString *out)
{
	g_string_append(out, follower.relays ? "yes\n" : "no\n");
}

static void
exec_complete(const char *rest, GString *out)
{
	g_string_append(out,
	    topic_follower_complete(&follower) ? "yes\n" : "no\n");
}

/* proof: time as of which the local copy is known to be current */
static void
exec_proof(const char *rest, GString *out)
{
	g_string_append_printf(out, "%u\n", (unsigned)follower.proof_ms);
}

static const struct script_command commands[] = {
	{ "start", exec_start },
	{ "hold", exec_hold },
	{ "release", exec_release },
	{ "adopt", exec_adopt },
	{ "reader", exec_reader },
	{ "poll", exec_poll },
	{ "answer", exec_answer },
	{ "apply", exec_apply },
	{ "updated", exec_updated },
	{ "age", exec_age },
	{ "next", exec_next },
	{ "retry-ms", exec_retry_ms },
	{ "pause", exec_pause },
	{ "relays", exec_relays },
	{ "complete", exec_complete },
	{ "proof", exec_proof },
	{ NULL, NULL },
};

int
main(void)
{
	int rc;

	event_log_open("test-follow", LOG_ERR);
	uv_loop_init(&loop);
	/* The clock must be later than any age that a script gives. */
	loop.time = 60000;
	printed = g_string_new(NULL);
	rc = script_main("follow", commands, reset);
	close_follower();
	g_string_free(printed, TRUE);
	uv_loop_close(&loop);
	return (rc);
}
