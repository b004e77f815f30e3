/*
 * Failure domains of the stand-in's endpoints, and their evacuation by the
 * operator. Requests that reach an evacuated endpoint after the daemons had
 * time to learn of it are reported in the journal.
 */
#include <arpa/inet.h>
#include <string.h>

#include "fake-platform.h"

#define EVACUATE_PREFIX "evacuate/"
/* Time for all daemons to learn of an evacuation. */
#define EVACUATION_PROPAGATION_MS 2000

/* Name of an evacuated failure domain to the time of its evacuation. */
static GHashTable *evacuated;

/* Returns the failure domain of an endpoint: "a", or by its switch. */
char *
zone_name(const struct fake_endpoint *ep)
{
	return (g_strdup_printf("%c", 'a' + fake_endpoint_switch("zone", ep)));
}

/* Writes or, with an empty body, removes an evacuation. */
void
zone_evacuate(struct conn *c, const char *key)
{
	const char *zone = key + strlen(EVACUATE_PREFIX);

	if (evacuated == NULL)
		evacuated = g_hash_table_new_full(g_str_hash, g_str_equal,
		    g_free, g_free);
	if (c->body->len > 0) {
		uint64_t now = uv_now(fake_loop);

		g_hash_table_insert(evacuated, g_strdup(zone),
		    g_memdup2(&now, sizeof now));
	} else {
		g_hash_table_remove(evacuated, zone);
	}
	topic_add(TOPIC_OP, key, c->body->data, c->body->len);
}

/* Reports a request that should not have been sent here any more. */
void
zone_check(const struct conn *c)
{
	g_autofree char *zone = zone_name(c->endpoint);
	const uint64_t *since_ms =
	    evacuated != NULL ? g_hash_table_lookup(evacuated, zone) : NULL;
	uint32_t source_ip = conn_source_ip(c);
	char ip[INET_ADDRSTRLEN];

	if (since_ms == NULL ||
	    uv_now(fake_loop) - *since_ms < EVACUATION_PROPAGATION_MS)
		return;
	inet_ntop(AF_INET, &source_ip, ip, sizeof ip);
	g_string_append_printf(fake_journal, "in-evacuated %s %s %s\n",
	    c->endpoint->id, ip, c->id);
}
