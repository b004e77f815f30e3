/* Scripted tests of the index of claims on request ids. */
#include "claim-index.h"
#include "script.h"

static struct claim_index index_;
static gboolean initialized;

static void
reset(void)
{
	if (initialized)
		claim_index_destroy(&index_);
	claim_index_init(&index_);
	initialized = TRUE;
}

/* ops JSON: applies a record with these operations */
static void
exec_ops(const char *rest, GString *out)
{
	json_auto_t *ops = json_loads(rest, 0, NULL);
	json_auto_t *record =
	    json_pack("{s:s, s:O?}", "kind", "claims", "ops", ops);

	claim_index_apply(&index_, index_.next, record);
}

/* ask ID TOKEN FINGERPRINT: prints the verdict on the claim of an attempt */
static void
exec_ask(const char *rest, GString *out)
{
	static const char *const names[] = { "pending", "granted", "running",
		"done", "reused", "unavailable" };
	g_auto(GStrv) w = g_strsplit(rest, " ", 3);
	const struct claim *claim;
	enum claim_verdict v;

	v = claim_index_verdict(&index_, w[0], w[1],
	    g_ascii_strtoull(w[2], NULL, 10), &claim);
	g_string_append(out, names[v]);
	if (v == CLAIM_DONE)
		g_string_append_printf(out, " %d %s", claim->status,
		    claim->body != NULL ? claim->body : "-");
	g_string_append_c(out, '\n');
}

/* expire FIRST: the log retains no record before this offset */
static void
exec_expire(const char *rest, GString *out)
{
	claim_index_expire(&index_, g_ascii_strtoull(rest, NULL, 10));
}

static const struct script_command commands[] = {
	{ "ops", exec_ops },
	{ "ask", exec_ask },
	{ "expire", exec_expire },
	{ NULL, NULL },
};

int
main(void)
{
	int rc = script_main("claims", commands, reset);

	if (initialized)
		claim_index_destroy(&index_);
	return (rc);
}
