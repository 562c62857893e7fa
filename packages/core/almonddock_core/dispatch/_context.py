"""What all dispatches of a host share."""

from dataclasses import dataclass, field

from almonddock_core.dispatch._budget import RetryBudget
from almonddock_core.placement import TypicalLatency
from almonddock_core.routing import Route, RoutingTable, TargetTable


@dataclass(slots=True)
class DispatchContext:
    """State that outlives one request."""

    #: The data centre of this host.
    data_centre: str
    targets: TargetTable
    budget: RetryBudget
    #: The configuration in force, for the routes that lead to a service.
    table: RoutingTable | None = None
    _latencies: dict[str, TypicalLatency] = field(default_factory=dict)

    def get_latency(self, route: Route) -> TypicalLatency:
        """Returns the typical latency of a route's requests to targets."""
        latency = self._latencies.get(route.name)
        if latency is None:
            latency = TypicalLatency(route.latency_goal)
            self._latencies[route.name] = latency
        return latency

    def list_routes_to(self, service: str) -> tuple[str, ...]:
        """Returns the names of the routes that lead to a service."""
        if self.table is None:
            return ()
        return self.table.routes_to.get(service, ())
