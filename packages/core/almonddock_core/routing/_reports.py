"""What hosts tell each other of targets that are slow or fail.

Load: a tenth of the targets turns slow at once. A host of a large deployment
asks each target every few seconds, so by its own requests it would find out
with many late replies; together the hosts near a target know within a second.
"""

import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

from almonddock_core.placement import TargetHealth
from almonddock_core.routing._targets import KnownTarget, TargetTable

#: Ids of targets with their costs, in typical latencies.
Costs = Sequence[tuple[str, float]]

#: A cost from which a target is worth a report, in typical latencies.
REPORTED_COST = 1.5

#: A report counts unless it names more than this share of the targets of a data
#: centre.
MAX_REPORTED_SHARE = 0.75

#: The most targets in one report, the costliest: it travels with every read of
#: the store through another host.
MAX_REPORTS = 256

#: How long lists are used again: every message to another host carries one.
REFRESH_INTERVAL_MS = 250
REFRESH_INTERVAL = timedelta(milliseconds=REFRESH_INTERVAL_MS)


class CostReports:
    """Lists the costs to report, and records those that others report."""

    def __init__(self, targets: TargetTable, data_centre: str) -> None:
        """Takes the targets, and the data centre of this host."""
        self._targets = targets
        self._data_centre = data_centre
        self._observed: Costs = ()
        self._known: Costs = ()
        self._near: Costs = ()
        #: The number of targets in each data centre.
        self._sizes: Counter[str] = Counter()
        self._refreshed: timedelta | None = None

    def list_observed(self, now: timedelta) -> Costs:
        """Returns what this host has observed itself."""
        self._refresh(now)
        return self._observed

    def list_known(self, now: timedelta) -> Costs:
        """Returns what this host has observed or been told."""
        self._refresh(now)
        return self._known

    def list_near(self, now: timedelta) -> Costs:
        """Returns what this host knows of targets of its data centre.

        The sequence is the same object until it is made anew.
        """
        self._refresh(now)
        return self._near

    def record(
        self, costs: Iterable[tuple[str, float]], now: timedelta
    ) -> None:
        """Records the costs that another host reports.

        A host that finds nearly all targets of a data centre costly is cut off
        from it, or slow itself: its report says nothing of the targets.
        """
        by_data_centre: dict[str, list[tuple[KnownTarget, float]]] = (
            defaultdict(list)
        )
        for target_id, cost in costs:
            target = self._targets.find(target_id)
            if target is not None:
                place = target.entry.data_centre
                by_data_centre[place].append((target, cost))
        if not by_data_centre:
            return
        self._refresh(now)
        for place, reported in by_data_centre.items():
            if self._is_credible(place, len(reported)):
                for target, cost in reported:
                    target.health.observe_report(cost, now)

    def _is_credible(self, data_centre: str, costly: int) -> bool:
        """Whether so many targets of a data centre may be costly at once."""
        limit = max(1, self._sizes[data_centre] * MAX_REPORTED_SHARE)
        return costly <= limit

    def _drop_incredible(
        self, costly: Sequence[KnownTarget]
    ) -> list[KnownTarget]:
        """Leaves out data centres from which this host seems cut off.

        The hosts that get the report could not tell: it names some targets of
        a large data centre only.
        """
        counts = Counter(target.entry.data_centre for target in costly)
        return [
            target
            for target in costly
            if self._is_credible(
                target.entry.data_centre, counts[target.entry.data_centre]
            )
        ]

    def _refresh(self, now: timedelta) -> None:
        refreshed = self._refreshed
        if refreshed is not None and now - refreshed < REFRESH_INTERVAL:
            return
        self._refreshed = now
        targets = self._targets.list_all()
        self._sizes = Counter(target.entry.data_centre for target in targets)
        costly = self._drop_incredible(
            [
                target
                for target in targets
                if target.health.may_cost(REPORTED_COST, now)
            ]
        )
        near = [
            target
            for target in costly
            if target.entry.data_centre == self._data_centre
        ]
        self._observed = _list_costly(
            costly, lambda health: health.measure_cost(now)
        )
        self._known = _list_costly(
            costly, lambda health: health.estimate_shared_cost(now)
        )
        self._near = _list_costly(
            near, lambda health: health.estimate_shared_cost(now)
        )


def _list_costly(
    targets: Iterable[KnownTarget],
    measure: Callable[[TargetHealth], float],
) -> Costs:
    costs = (
        (target.entry.target_id, measure(target.health)) for target in targets
    )
    costly = [known for known in costs if known[1] >= REPORTED_COST]
    return tuple(
        heapq.nlargest(MAX_REPORTS, costly, key=lambda known: known[1])
    )
