"""Where hosts ask the targets of a shard for each other.

They do if a target has fewer connections than there are hosts. A host that
asks for others then takes as many as the connections allow.
"""

from almonddock_core.placement import HOMES_PER_GROUP, count_groups
from almonddock_core.routing import Route, RoutingTable, Service

#: The hosts among which the connections of a target are divided where it has
#: homes: those of three data centres, and as many that ask it themselves.
CONNECTED_HOSTS = 2 * 3 * HOMES_PER_GROUP


def count_groups_with_homes(table: RoutingTable | None, hosts: int) -> int:
    """Returns the number of groups of shards that have a home."""
    if table is None:
        return 0
    return max(
        (
            count_groups(len(route.shards))
            for routes in table.routes.values()
            for route in routes.values()
            if _is_crowded(route, table, hosts)
        ),
        default=0,
    )


def limit_connections(service: Service, hosts: int, *, is_home: bool) -> int:
    """Returns the most connections of one host to a target, at least one."""
    share = service.max_connections // hosts
    if not share and is_home:
        share = service.max_connections // CONNECTED_HOSTS
    return max(1, share)


def _is_crowded(route: Route, table: RoutingTable, hosts: int) -> bool:
    """Whether a target has fewer connections than there are hosts."""
    return any(
        table.services[name].max_connections < hosts
        for name in route.shards
        if name in table.services
    )
