"""One version of the operators' configuration, ready for lookups."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.routing._organisations import OrganisationTable


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of a caller's request."""

    #: Bytes of a request's start line and headers.
    header_bytes: int
    #: Bytes of a request's body.
    body_bytes: int
    #: Time from the first byte of a request to the end of its headers.
    header_timeout: timedelta
    #: Time that a connection may stay idle between two requests.
    idle_timeout: timedelta


@dataclass(frozen=True, slots=True)
class Service:
    """The operators' settings for the targets of one service."""

    name: str
    #: Connections that one target accepts from all hosts together.
    max_connections: int
    #: Requests a second that a cold target can take; 0 if not limited.
    cold_requests_per_second: float
    #: How long a target stays cold after its start.
    cold_time: timedelta
    #: The path of a target's health check; empty if it has none.
    health_path: str = ''


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a traffic split, and its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host name and path prefix go.

    Exactly one of ``services`` and ``shards`` is filled: a request goes to one
    of the weighted services, or to all shards at once.
    """

    name: str
    #: The host name in lower case, without a port.
    host: str
    #: Begins and ends with a slash.
    prefix: str
    #: Whether a request may run more than once.
    idempotent: bool
    #: The longest time until the caller gets an answer.
    timeout: timedelta
    #: The time within which an answer has its full value.
    latency_goal: timedelta
    #: Targets of one service that one request may be sent to.
    max_attempts: int
    #: The rank of the route; 0 is the most urgent.
    priority: int
    services: tuple[WeightedService, ...] = ()
    #: The services of all shards; each shard is a service of its own.
    shards: tuple[str, ...] = ()
    #: Records in the merged answer of a route with shards.
    top_records: int = 0
    #: The smallest share of the shards that must answer.
    min_share: float = 1
    #: Whether callers need no key where the configuration has organisations.
    public: bool = False

    def list_services(self) -> tuple[str, ...]:
        """Returns every service that a request may go to."""
        return self.shards or tuple(part.service for part in self.services)


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration; made by `build_routing_table`."""

    version: int
    limits: CallerLimits
    services: Mapping[str, Service]
    #: Routes by host name, then by prefix.
    routes: Mapping[str, Mapping[str, Route]]
    #: The names of the routes that lead to each service.
    routes_to: Mapping[str, tuple[str, ...]]
    #: None if callers need no keys.
    organisations: OrganisationTable | None = None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path.

        ``host`` is in lower case without a port; ``path`` has no query.
        """
        by_prefix = self.routes.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def build_routing_table(
    version: int,
    limits: CallerLimits,
    services: Iterable[Service],
    routes: Iterable[Route],
    organisations: OrganisationTable | None = None,
) -> RoutingTable:
    """Builds the lookups of one version of the configuration."""
    by_host: dict[str, dict[str, Route]] = defaultdict(dict)
    routes_to: dict[str, list[str]] = defaultdict(list)
    for route in routes:
        by_host[route.host][route.prefix] = route
        for service in route.list_services():
            routes_to[service].append(route.name)
    return RoutingTable(
        version=version,
        limits=limits,
        services={service.name: service for service in services},
        routes=dict(by_host),
        routes_to={name: tuple(found) for name, found in routes_to.items()},
        organisations=organisations,
    )
