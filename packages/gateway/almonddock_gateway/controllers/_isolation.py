"""Detects whether this host is cut off from other data centres."""

from almonddock_core.dispatch import DispatchContext, count_needed
from almonddock_core.model import Clock
from almonddock_core.placement import Reachability, is_isolated
from almonddock_core.routing import Route
from almonddock_gateway.telemetry import Telemetry


class IsolationController:
    """Tracks whether the host is isolated from other data centres."""

    def __init__(
        self,
        context: DispatchContext,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        #: Whether callers should be sent to other hosts.
        self.isolated = False
        self._context = context
        self._clock = clock
        self._telemetry = telemetry

    def check(self) -> None:
        """Updates the state from the health of the targets."""
        reachability = self._measure_reachability()
        isolated = is_isolated(reachability, self._clock.now())
        if isolated is self.isolated:
            return
        self.isolated = isolated
        self._telemetry.log_event(
            'isolated' if isolated else 'isolation_ended',
            reached=reachability.remote_reached,
            unreachable=reachability.remote_unreachable,
        )

    def _measure_reachability(self) -> Reachability:
        here = self._context.data_centre
        elsewhere = [
            target.health
            for target in self._context.targets.list_all()
            if target.entry.data_centre != here
        ]
        unreachable = sum(health.unreachable for health in elsewhere)
        return Reachability(
            remote_reached=max(
                (
                    health.reached
                    for health in elsewhere
                    if health.reached is not None
                ),
                default=None,
            ),
            remote_unreachable=unreachable,
            lacks_coverage=unreachable > 0 and self._has_route_lacking_shards(),
        )

    def _has_route_lacking_shards(self) -> bool:
        table = self._context.table
        if table is None:
            return False
        # Many routes lead to the same shards.
        distinct = {
            (route.shards, route.min_share): route
            for by_prefix in table.routes.values()
            for route in by_prefix.values()
            if route.shards
        }
        return any(
            self._lacks_reachable_shards(route) for route in distinct.values()
        )

    def _lacks_reachable_shards(self, route: Route) -> bool:
        now = self._clock.now()
        reachable = 0
        for shard in route.shards:
            usable = self._context.targets.list_usable(shard, now)
            reachable += any(not one.health.unreachable for one in usable)
        return reachable < count_needed(route)
