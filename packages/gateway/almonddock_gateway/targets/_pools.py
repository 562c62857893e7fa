"""The pools of all targets."""

from collections.abc import Callable

from almonddock_core.routing import KnownTarget
from almonddock_gateway.targets._pool import PoolSettings, TargetPool


class TargetPools:
    """Makes a pool when a target is first used, and drops unused ones."""

    def __init__(
        self,
        get_limit: Callable[[str], int],
        report_reachability: Callable[[KnownTarget], None],
    ) -> None:
        """Takes the connection limit of a service's target.

        ``note_reach`` is called when a target becomes reachable or
        unreachable.
        """
        self._get_limit = get_limit
        self._report_reachability = report_reachability
        self._pools: dict[int, TargetPool] = {}

    def get(self, target: KnownTarget) -> TargetPool:
        """Returns the pool of one incarnation of a target."""
        pool = self._pools.get(id(target))
        if pool is None:
            service = target.entry.service
            pool = TargetPool(
                PoolSettings(
                    target,
                    lambda: self._get_limit(service),
                    self._report_reachability,
                ),
            )
            self._pools[id(target)] = pool
        return pool

    def close_idle(self) -> None:
        """Closes connections that are idle for too long, in all pools."""
        for key, pool in tuple(self._pools.items()):
            pool.close_idle()
            if pool.unused:
                del self._pools[key]

    def count_dials(self) -> int:
        """Returns the connections that the present pools have opened."""
        return sum(pool.dials for pool in self._pools.values())
