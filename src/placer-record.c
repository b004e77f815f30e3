/* Encoding of the records of replicas and of the placer's lease. */
#include <arpa/inet.h>
#include <jansson.h>
#include <string.h>

#include "event-log.h"
#include "placer.h"

/* Encodes a JSON object as a record's value; takes ownership of the object. */
static guint8 *
record_bytes(json_t *root, size_t *length)
{
	char *text = json_dumps(root, JSON_COMPACT);
	guint8 *bytes;

	*length = strlen(text);
	bytes = g_memdup2(text, *length);
	free(text);
	json_decref(root);
	return (bytes);
}

/*
 * Encodes which orders to join are in doubt, as ranks. A record with such
 * orders doesn't say "settled": former versions would then assume that all
 * orders to join were carried out.
 */
static void
encode_settled(json_t *root, const struct replica *r)
{
	json_t *ranks = json_array();

	for (unsigned i = 0; i < r->n; i++) {
		if (r->members[i].join_in_doubt)
			json_array_append_new(ranks, json_integer(i));
	}
	if (json_array_size(ranks) > 0)
		json_object_set(root, "in_doubt", ranks);
	else
		json_object_set_new(root, "settled", json_true());
	json_decref(ranks);
}

/* Decodes the members, the head first; returns false if one is malformed, as
 * the others would get ranks that they don't have. */
static bool
decode_members(const json_t *members, struct replica *r)
{
	json_t *item;
	size_t i;

	json_array_foreach(members, i, item) {
		const char *id, *ip;
		struct sockaddr_in addr;
		int port;

		if (json_unpack(item, "{s:s,s:s,s:i}", "id", &id, "ip", &ip,
			"port", &port) != 0 ||
		    uv_ip4_addr(ip, port, &addr) != 0)
			return (false);
		replica_add_member(r, id, &addr);
	}
	return (true);
}

/* Decodes whether a replica has settled, and which orders to join are in
 * doubt; its members are known. */
static void
decode_settled(const json_t *root, struct replica *r)
{
	const json_t *ranks = json_object_get(root, "in_doubt"), *rank;
	size_t i;

	r->settled = json_is_true(json_object_get(root, "settled")) ||
	    json_array_size(ranks) > 0;
	json_array_foreach(ranks, i, rank) {
		json_int_t at = json_integer_value(rank);

		if (at >= 0 && at < (json_int_t)r->n)
			r->members[at].join_in_doubt = true;
	}
}

/**
 * placer_encode_replica() - encode a replica's record.
 * @r: the replica
 * @term: term of the lease
 * @length: set to the length of the value
 *
 * Return: the record's value; free with g_free().
 */
guint8 *
placer_encode_replica(const struct replica *r, int64_t term, size_t *length)
{
	json_t *root = json_object();
	json_t *members = json_array();

	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];
		char ip[INET_ADDRSTRLEN];

		inet_ntop(AF_INET, &m->address.sin_addr, ip, sizeof ip);
		json_array_append_new(members,
		    json_pack("{s:s,s:s,s:i}", "id", m->id, "ip", ip, "port",
			ntohs(m->address.sin_port)));
	}
	json_object_set_new(root, "service", json_string(r->service));
	json_object_set_new(root, "model", json_string(r->model));
	json_object_set_new(root, "epoch", json_integer(r->epoch));
	json_object_set_new(root, "members", members);
	json_object_set_new(root, "term", json_integer(term));
	if (r->settled)
		encode_settled(root, r);
	return (record_bytes(root, length));
}

/**
 * placer_decode_replica() - decode a replica's record.
 * @name: name of the replica
 * @bytes: value of the record
 * @length: length of the value
 *
 * Return: the replica, or NULL if the record or a member of it is malformed, or
 * it has no members.
 */
struct replica *
placer_decode_replica(const char *name, const void *bytes, size_t length)
{
	json_auto_t *root = json_loadb(bytes, length, 0, NULL);
	const char *service, *model;
	json_int_t epoch;
	json_t *members;
	struct replica *r;

	if (root == NULL ||
	    json_unpack(root, "{s:s,s:s,s:I,s:o}", "service", &service, "model",
		&model, "epoch", &epoch, "members", &members) != 0) {
		event_log(LOG_ERR, "record_ignored", "group=%s reason=format",
		    name);
		return (NULL);
	}
	r = replica_create(name, service, model, epoch);
	r->term = json_integer_value(json_object_get(root, "term"));
	if (!decode_members(members, r)) {
		event_log(LOG_ERR, "record_ignored", "group=%s reason=member",
		    name);
		replica_free(r);
		return (NULL);
	}
	decode_settled(root, r);
	if (r->n > 0)
		return (r);
	event_log(LOG_ERR, "record_ignored", "group=%s reason=no_members",
	    name);
	replica_free(r);
	return (NULL);
}

/**
 * placer_encode_lease() - encode the lease's record.
 * @holder: name of the daemon that holds the lease
 * @term: term of the lease
 * @keeps: see placer_decode_lease()
 * @length: set to the length of the value
 *
 * Return: the record's value; free with g_free().
 */
guint8 *
placer_encode_lease(const char *holder, int64_t term, bool keeps,
    size_t *length)
{
	return (record_bytes(json_pack("{s:s,s:I,s:b}", "holder", holder,
				 "term", (json_int_t)term, "keeps", keeps),
	    length));
}

/**
 * placer_decode_lease() - decode the lease's record.
 * @bytes: value of the record
 * @length: length of the value
 * @keeps: set to whether all placers up to this one, whose orders may still be
 *	carried out, have kept the record of a group while its head could serve
 *	again after it has left; false for a record of a former version
 *
 * Return: the term, or 0 if the record is malformed.
 */
int64_t
placer_decode_lease(const void *bytes, size_t length, bool *keeps)
{
	json_auto_t *root = json_loadb(bytes, length, 0, NULL);
	json_int_t term;

	if (root == NULL || json_unpack(root, "{s:I}", "term", &term) != 0) {
		event_log(LOG_ERR, "record_ignored", "lease=1 reason=format");
		*keeps = false;
		return (0);
	}
	*keeps = json_is_true(json_object_get(root, "keeps"));
	return (term);
}
