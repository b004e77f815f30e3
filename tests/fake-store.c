/* The store of the stand-in for the users' platform, with keyed topics. */
#include <string.h>

#include "fake-platform.h"

static const char *const topic_names[TOPICS] = { "keyed.op", "keyed.servers",
	"keyed.placement", "keyed.daemons" };

/* One record of a topic. */
struct rec {
	char *key;
	GBytes *value;
};

/* A long poll that waits for a record. */
struct waiter {
	struct conn *conn;
	enum topic topic;
	uint64_t from;
	uint64_t until;
};

static GPtrArray *records[TOPICS];
static GArray *waiters;

/* Creates the topics, which are empty. */
void
store_init(void)
{
	for (int t = 0; t < TOPICS; t++)
		records[t] = g_ptr_array_new();
	waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
}

/* Drops the pending reads of a connection that has ended. */
void
store_drop_conn(const struct conn *c)
{
	for (guint i = waiters->len; i-- > 0;) {
		if (g_array_index(waiters, struct waiter, i).conn == c)
			g_array_remove_index(waiters, i);
	}
}

static void
put_u64(GByteArray *out, uint64_t n)
{
	guint64 big = GUINT64_TO_BE(n);

	g_byte_array_append(out, (const guint8 *)&big, sizeof big);
}

/* Answers a read with the records from an offset on, of which the switch
 * "read-records" bounds the number. */
static void
reply_read(struct conn *c, enum topic t, uint64_t from)
{
	g_autoptr(GByteArray) out = g_byte_array_new();
	uint64_t most = (uint64_t)get_switch("read-records");
	uint64_t end = records[t]->len;

	if (most > 0 && from < end)
		end = MIN(end, from + most);

	put_u64(out, records[t]->len);
	put_u64(out, 0);
	for (uint64_t i = from; i < end; i++) {
		const struct rec *r = records[t]->pdata[i];
		gsize n = r->value != NULL ? g_bytes_get_size(r->value) : 0;
		guint8 key = (guint8)strlen(r->key);
		guint32 big = GUINT32_TO_BE((guint32)(1 + key + n));

		g_byte_array_append(out, (const guint8 *)&big, sizeof big);
		g_byte_array_append(out, &key, 1);
		g_byte_array_append(out, (const guint8 *)r->key, key);
		if (n > 0)
			g_byte_array_append(out,
			    g_bytes_get_data(r->value, NULL), (guint)n);
	}
	conn_reply(c, 200, "", out->data, out->len);
}

/* Answers the reads that have records or whose time is up. */
void
waiters_check(void)
{
	uint64_t now = uv_now(fake_loop);

	for (guint i = waiters->len; i-- > 0;) {
		struct waiter w = g_array_index(waiters, struct waiter, i);

		if (records[w.topic]->len <= w.from && now < w.until)
			continue;
		g_array_remove_index(waiters, i);
		reply_read(w.conn, w.topic, w.from);
	}
}

void
topic_add(enum topic t, const char *key, const void *value, size_t length)
{
	struct rec *r = g_new0(struct rec, 1);

	r->key = g_strdup(key);
	if (length > 0)
		r->value = g_bytes_new(value, length);
	g_ptr_array_add(records[t], r);
}

/* Returns the newest record of each key, as JSON. */
static json_t *
topic_newest(enum topic t)
{
	json_t *items = json_array();
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = records[t]->len; i-- > 0;) {
		const struct rec *r = records[t]->pdata[i];
		g_autofree char *text = NULL;

		if (!g_hash_table_add(seen, r->key) || r->value == NULL)
			continue;
		text = g_base64_encode(g_bytes_get_data(r->value, NULL),
		    g_bytes_get_size(r->value));
		json_array_append_new(items,
		    json_pack("{s:s,s:s,s:i}", "key", r->key, "value", text,
			"offset", (int)i));
	}
	return (json_pack("{s:o,s:b,s:i}", "items", items, "has_more", 0,
	    "end_offset", (int)records[t]->len));
}

static uint64_t
query_number(const char *target, const char *name, uint64_t fallback)
{
	g_autofree char *key = g_strconcat(name, "=", NULL);
	const char *at = strstr(target, key);

	return (at != NULL ? strtoull(at + strlen(key), NULL, 10) : fallback);
}

static void
store_append(struct conn *c, enum topic t)
{
	const char *target = net_head_target(&c->head);
	uint64_t expected = query_number(target, "as_of", UINT64_MAX);
	size_t at = 0;

	if (expected != UINT64_MAX && expected != records[t]->len) {
		conn_json(c, 412,
		    json_pack("{s:i}", "end_offset", (int)records[t]->len));
		return;
	}
	while (at + 4 <= c->body->len) {
		const guint8 *p = c->body->data + at;
		size_t n = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
		    (size_t)p[2] << 8 | p[3];
		g_autofree char *key = g_strndup((const char *)p + 5, p[4]);

		topic_add(t, key, p + 5 + p[4], n - 1 - p[4]);
		at += 4 + n;
	}
	conn_json(c, 200,
	    json_pack("{s:i}", "end_offset", (int)records[t]->len));
	waiters_check();
}

/* Sets a switch: the body is "NAME NUMBER". */
static void
store_control(struct conn *c)
{
	g_autofree char *text =
	    g_strndup((const char *)c->body->data, c->body->len);
	g_auto(GStrv) w = g_strsplit(text, " ", 2);

	g_hash_table_replace(fake_switches, g_strdup(w[0]),
	    GINT_TO_POINTER(atoi(w[1])));
	if (g_str_has_prefix(w[0], "cut-"))
		cut_apply();
	silence_apply(w[0], atoi(w[1]));
	if (g_str_has_prefix(w[0], "excuse-")) {
		backoff_forget_daemon(w[0] + strlen("excuse-"));
		limit_forget_daemon(w[0] + strlen("excuse-"));
		crash_begin_grace(w[0] + strlen("excuse-"));
	}
	conn_reply(c, 200, "", "", 0);
}

void
store_request(struct conn *c)
{
	const char *target = net_head_target(&c->head);
	struct waiter w = { .conn = c };

	if (g_str_has_prefix(target, "/control")) {
		store_control(c);
		return;
	}
	if (g_str_has_prefix(target, "/journal")) {
		conn_reply(c, 200, "", fake_journal->str, fake_journal->len);
		return;
	}
	if (g_str_has_prefix(target, "/config")) {
		topic_add(TOPIC_OP, "config", c->body->data, c->body->len);
		conn_reply(c, 200, "", "", 0);
		waiters_check();
		return;
	}
	if (g_str_has_prefix(target, "/evacuate/")) {
		zone_evacuate(c, target + 1);
		conn_reply(c, 200, "", "", 0);
		waiters_check();
		return;
	}
	if (get_switch("silent"))
		return;
	if (get_switch("down")) {
		conn_reply(c, 503, "", "", 0);
		return;
	}
	while (w.topic < TOPICS && strstr(target, topic_names[w.topic]) == NULL)
		w.topic++;
	if (w.topic == TOPICS) {
		conn_reply(c, 400, "", "", 0);
	} else if (g_str_has_prefix(target, "/log-append")) {
		store_append(c, w.topic);
	} else if (g_str_has_prefix(target, "/log-newest")) {
		conn_json(c, 200, topic_newest(w.topic));
	} else {
		w.from = query_number(target, "from", 0);
		w.until =
		    uv_now(fake_loop) + query_number(target, "wait_ms", 0);
		g_array_append_val(waiters, w);
		waiters_check();
	}
}
