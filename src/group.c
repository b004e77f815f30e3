/* A serving group: the hosts that together hold one replica. */
#include "group.h"

/**
 * group_create() - make a group from a log record or a group of a snapshot.
 * @record: JSON object of the group
 * @epoch: log offset of the record
 *
 * Return: the group, or NULL when a field is missing or of the wrong type.
 */
struct group *
group_create(json_t *record, uint64_t epoch)
{
	const char *name, *deployment, *domain, *fabric;
	struct group *group;
	json_t *hosts, *host;
	size_t i;

	if (json_unpack(record, "{s:s, s:s, s:s, s:s, s:o}", "name", &name,
		"deployment", &deployment, "domain", &domain, "fabric", &fabric,
		"hosts", &hosts) != 0)
		return (NULL);
	if (json_array_size(hosts) == 0)
		return (NULL);
	json_array_foreach(hosts, i, host) {
		if (!json_is_string(host))
			return (NULL);
	}
	group = g_new0(struct group, 1);
	group->name = g_strdup(name);
	group->deployment = g_strdup(deployment);
	group->domain = g_strdup(domain);
	group->fabric = g_strdup(fabric);
	group->epoch = epoch;
	group->hosts = g_ptr_array_new_with_free_func(g_free);
	json_array_foreach(hosts, i, host)
		g_ptr_array_add(group->hosts,
		    g_strdup(json_string_value(host)));
	return (group);
}

/**
 * group_free() - free a group.
 * @group: the group
 */
void
group_free(struct group *group)
{
	g_ptr_array_unref(group->hosts);
	g_free(group->name);
	g_free(group->deployment);
	g_free(group->domain);
	g_free(group->fabric);
	g_free(group);
}

/**
 * group_dump() - JSON object of a group, for snapshots and operators.
 * @group: the group
 */
json_t *
group_dump(const struct group *group)
{
	json_t *hosts = json_array();

	for (guint i = 0; i < group->hosts->len; i++)
		json_array_append_new(hosts,
		    json_string(group->hosts->pdata[i]));
	return (json_pack("{s:s, s:s, s:s, s:s, s:I, s:o}", "name", group->name,
	    "deployment", group->deployment, "domain", group->domain, "fabric",
	    group->fabric, "epoch", (json_int_t)group->epoch, "hosts", hosts));
}
