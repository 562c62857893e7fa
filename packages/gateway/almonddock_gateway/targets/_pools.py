"""The connection pools of all targets."""

from collections.abc import Callable

from almonddock_core.memory import HostMemory, PartLimits
from almonddock_core.routing import KnownTarget
from almonddock_gateway.http import ReplyMemory
from almonddock_gateway.targets._availability import ObserveReply
from almonddock_gateway.targets._pool import PoolSettings, TargetPool

#: The most bytes that targets make the host hold: incomplete replies, and
#: requests that they do not read.
MAX_HELD_BYTES = 0x2000000

#: A whole reply is copied once when it is passed on.
REPLY_LIMITS = PartLimits('replies', MAX_HELD_BYTES, factor=2)


class TargetPools:
    """Creates pools on first use and removes unused ones."""

    def __init__(
        self,
        get_limit: Callable[[str], int],
        report_reachability: Callable[[KnownTarget], None],
        is_usable: Callable[[KnownTarget], bool] = lambda target: True,
        observe: ObserveReply = lambda target, reply: None,
        memory: HostMemory | None = None,
    ) -> None:
        """Initialises without pools.

        ``get_limit`` returns the connection limit for a target of a service;
        ``report_reachability`` is called when a target becomes reachable or
        unreachable; ``is_usable`` says whether it may get new work; ``observe``
        records what a reply says of its target; ``memory`` bounds what targets
        make the host hold.
        """
        self._observe = observe
        self._is_usable = is_usable
        self._get_limit = get_limit
        self._report_reachability = report_reachability
        self._memory = ReplyMemory(memory=memory, limits=REPLY_LIMITS)
        self._may_wait = True
        self._pools: dict[int, TargetPool] = {}

    @property
    def held_bytes(self) -> int:
        """The bytes held of incomplete replies and of unsent requests."""
        return self._memory.held

    def get(self, target: KnownTarget) -> TargetPool:
        """Returns the pool of a target, a new one after a restart or move."""
        pool = self._pools.get(id(target))
        if pool is None:
            service = target.entry.service
            pool = TargetPool(
                PoolSettings(
                    target,
                    lambda: self._get_limit(service),
                    self._report_reachability,
                    lambda: self._may_wait and self._is_usable(target),
                    lambda reply: self._observe(target, reply),
                    self._memory,
                ),
            )
            self._pools[id(target)] = pool
        return pool

    def withdraw_waiting(self) -> None:
        """Fails attempts that wait for a connection, or would have to."""
        self._may_wait = False
        self.check_waiting()

    def check_waiting(self) -> None:
        """Withdraws the attempts that wait for targets which leave.

        Call this after a change of the targets.
        """
        for pool in tuple(self._pools.values()):
            pool.check_waiting()

    def close_idle(self) -> None:
        """Closes stale idle connections and removes unused pools."""
        for key, pool in tuple(self._pools.items()):
            pool.close_idle()
            if pool.unused:
                del self._pools[key]

    def count_dials(self) -> int:
        """Returns the number of dials that the current pools have made."""
        return sum(pool.dials for pool in self._pools.values())
