"""State that all dispatches of a host share."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch._budget import RetryBudget
from almonddock_core.dispatch._hedging import HedgeHistory
from almonddock_core.dispatch._sending import AnswerSending
from almonddock_core.fairness import FairShares, Turn
from almonddock_core.placement import (
    ColdStartLimiter,
    QueryPlacement,
    TypicalLatency,
    choose_near,
)
from almonddock_core.rollouts import RolloutTable
from almonddock_core.routing import (
    Caller,
    KnownTarget,
    Route,
    RoutingTable,
    TargetTable,
)


@dataclass(slots=True)
class DispatchContext:
    """State that outlives one request."""

    #: The data centre of this host.
    data_centre: str
    targets: TargetTable
    budget: RetryBudget
    cold: ColdStartLimiter
    hedges: HedgeHistory = field(default_factory=HedgeHistory)
    #: What organisations have taken, where they share.
    shares: FairShares = field(default_factory=FairShares)
    #: The versions that services are moved to; empty without an order.
    rollouts: RolloutTable = field(
        default_factory=lambda: RolloutTable('', 0),
    )
    #: The configuration in force, for the routes that lead to a service and
    #: the limits of cold targets; None before the first one.
    table: RoutingTable | None = None
    #: How long answers that are due take to be sent.
    sending: AnswerSending = field(default_factory=AnswerSending)
    _latencies: dict[str, TypicalLatency] = field(default_factory=dict)
    #: Chooses the targets of all shards of a query.
    placement: QueryPlacement = field(init=False)

    def __post_init__(self) -> None:
        """Creates the placement for the data centre."""
        self.placement = QueryPlacement(self.data_centre)
        self.targets.is_version_allowed = self.rollouts.is_allowed

    def get_latency(self, route: Route) -> TypicalLatency:
        """Returns the typical latency of a route's requests to targets."""
        latency = self._latencies.get(route.name)
        if latency is None:
            latency = TypicalLatency(route.latency_goal)
            self._latencies[route.name] = latency
        return latency

    def take_turn(
        self, caller: Caller, shards: int, now: timedelta
    ) -> Turn | None:
        """Counts a request, and returns its turn.

        ``shards`` is how many targets work on it. Returns None where the
        configuration has no organisations.
        """
        if self.table is None or self.table.organisations is None:
            return None
        delay = self.shares.measure_delay(caller, now)
        latency = timedelta(seconds=self.get_latency(caller.route).seconds)
        turn = Turn(caller, latency * shards, delay)
        self.shares.record(caller, turn.work, now)
        return turn

    def give_back(self, turn: Turn | None, now: timedelta) -> None:
        """Takes back the work of a request that was refused."""
        if turn is not None:
            self.shares.record(turn.caller, -turn.work, now)

    def drop_idle(self, now: timedelta) -> None:
        """Drops what was counted without a recent event."""
        self.budget.drop_idle(now)
        self.hedges.drop_idle(now)
        self.shares.drop_idle(now)

    def apply_configuration(self, table: RoutingTable) -> None:
        """Applies a configuration; drops latencies of routes that it lacks."""
        self.table = table
        if table.organisations is not None:
            self.shares.apply_organisations(table.organisations)
        names = frozenset(
            route.name
            for by_prefix in table.routes.values()
            for route in by_prefix.values()
        )
        self._latencies = {
            name: latency
            for name, latency in self._latencies.items()
            if name in names
        }
        self.sending.keep(names)

    def list_routes_to(self, service: str) -> tuple[str, ...]:
        """Returns the names of the routes that lead to a service."""
        if self.table is None:
            return ()
        return self.table.routes_to.get(service, ())

    def find_near(self, service: str, now: timedelta) -> KnownTarget | None:
        """Returns the target of this data centre that is the best choice.

        Returns None if all targets have to be compared.
        """
        if self.rollouts.find(service) is not None:
            return None
        if self.data_centre in self.targets.drained:
            return None
        return choose_near(
            self.targets.by_service.get(service, ()),
            self.data_centre,
            now,
            self._can_use,
        )

    def choose_first(
        self,
        services: Sequence[str],
        list_candidates: Callable[[int], Sequence[KnownTarget]],
        now: timedelta,
    ) -> list[KnownTarget | None]:
        """Returns the first target to ask of each service, None without one.

        ``list_candidates`` returns the candidates at the service of an index;
        it is called for those only whose targets have to be compared.
        """
        chosen = [self.find_near(service, now) for service in services]
        compared = [
            index for index, target in enumerate(chosen) if target is None
        ]
        candidates = [list_candidates(index) for index in compared]
        targets = self.placement.choose(candidates, now)
        for index, target in zip(compared, targets, strict=True):
            chosen[index] = target
        return chosen

    def list_reachable(
        self,
        service: str,
        now: timedelta,
    ) -> tuple[list[KnownTarget], int]:
        """Returns reachable targets, and the number of unreachable ones."""
        usable = self.targets.list_usable(service, now)
        reachable = [
            target for target in usable if not target.health.unreachable
        ]
        return reachable, len(usable) - len(reachable)

    def measure_rest(
        self, services: Iterable[str], now: timedelta
    ) -> timedelta:
        """Returns the time until a target of each service has rested."""
        ends = [self.targets.find_rest_end(name, now) for name in services]
        return max(ends, default=now) - now

    def can_accept(self, target: KnownTarget, now: timedelta) -> bool:
        """Whether a target that may be cold can take one more request."""
        if target.cold_until <= now:
            return True
        entry = target.entry
        rate = self._get_cold_rate(entry.service)
        return self.cold.may_send(
            entry.target_id,
            rate,
            now,
            was_warm=target.was_warm,
        )

    def assume_cold(self, target: KnownTarget, now: timedelta) -> bool:
        """Treats a target as cold that has become reachable again.

        It may have restarted, which its entry shows later, or not at all
        while the store is unavailable. Returns False without a change if its
        service has no limit for cold targets.
        """
        if not self._get_cold_rate(target.entry.service) or self.table is None:
            return False
        service = self.table.services[target.entry.service]
        target.cold_until = max(target.cold_until, now + service.cold_time)
        return True

    def record_sent(self, target: KnownTarget, now: timedelta) -> None:
        """Counts an attempt, for its version and if it may be cold."""
        self.rollouts.record_sent(target.entry)
        if target.cold_until > now:
            self.cold.record_sent(target.entry.target_id)

    def measure_slowness(
        self, latency: TypicalLatency, target: KnownTarget, seconds: float
    ) -> float:
        """Returns the time of a reply relative to the typical one.

        A version that is compared with the one in service does not change
        what is typical.
        """
        if self.rollouts.is_compared(target.entry):
            return seconds / latency.seconds
        return latency.observe(seconds)

    def _can_use(self, target: KnownTarget, now: timedelta) -> bool:
        """Whether a target may get a first attempt.

        It is listed, its service has no roll-out, and its data centre is not
        drained.
        """
        if target.health.unreachable or not target.is_usable(now):
            return False
        return target.cold_until <= now or self.can_accept(target, now)

    def _get_cold_rate(self, service: str) -> float:
        known = self.table.services.get(service) if self.table else None
        return 0 if known is None else known.cold_requests_per_second
