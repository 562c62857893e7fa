"""Chooses the target of a request among the replicas of a service."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Protocol, TypeVar

from almonddock_core.placement._health import TargetHealth

#: Added cost of a target in another data centre, as a multiple of the typical
#: latency: traffic between data centres is paid for, and takes longer.
REMOTE_COST = 0.8

#: Further added cost if the other data centre is not the preferred one, in
#: typical latencies: the replies of one data centre travel merged, so replies
#: of two take twice the bytes.
SPREAD_COST = 1.2

#: Added cost of a cold target, in typical latencies.
COLD_COST = 1


class PlacedEntry(Protocol):
    """The part of a target's entry that placement reads."""

    @property
    def data_centre(self) -> str:
        """Where the target runs."""
        ...


class Candidate(Protocol):
    """A target that may get the request."""

    health: TargetHealth
    cold_until: timedelta

    @property
    def entry(self) -> PlacedEntry:
        """The entry that the target wrote to the store."""
        ...


TargetT = TypeVar('TargetT', bound=Candidate)


def choose_near(
    candidates: Sequence[TargetT],
    data_centre: str,
    now: timedelta,
    can_use: Callable[[TargetT, timedelta], bool],
) -> TargetT | None:
    """Returns the target of a data centre that costs less than any other can.

    Returns None if all candidates have to be compared. ``can_use`` is asked for
    targets of the data centre only, which are few.
    """
    best: TargetT | None = None
    best_cost = float('inf')
    # The cost of a target is its slowness at least, and decays towards 1.
    least_elsewhere = 1.0
    for target in candidates:
        if target.entry.data_centre != data_centre:
            least_elsewhere = min(least_elsewhere, target.health.slowness)
            continue
        cost = _estimate_near_cost(target, now, can_use)
        if cost < best_cost:
            best = target
            best_cost = cost
    return best if best_cost < least_elsewhere + REMOTE_COST else None


def _estimate_near_cost(
    target: TargetT,
    now: timedelta,
    can_use: Callable[[TargetT, timedelta], bool],
) -> float:
    """Returns the cost of a target that is near; infinite if unusable."""
    health = target.health
    if health.ejected_until > now or not can_use(target, now):
        return float('inf')
    cost = health.estimate_cost(now)
    return cost + COLD_COST if target.cold_until > now else cost


def choose_target(
    candidates: Sequence[TargetT],
    data_centre: str,
    now: timedelta,
    preferred: str | None = None,
) -> TargetT | None:
    """Returns the candidate with the least cost, None without candidates.

    ``preferred`` is the other data centre for those sub-queries that have to
    leave this one; None if there is no preference.

    Ejected targets, whose connection has just failed, come last: they are
    tried when no other is left, because a refused connection costs little.
    """
    if len(candidates) == 1:
        return candidates[0]
    best: TargetT | None = None
    best_cost = (True, float('inf'))
    for target in candidates:
        health = target.health
        cost = health.estimate_cost(now)
        location = target.entry.data_centre
        if location != data_centre:
            cost += REMOTE_COST
            if preferred not in {None, location}:
                cost += SPREAD_COST
        if target.cold_until > now:
            cost += COLD_COST
        rank = (health.ejected_until > now, cost)
        if best is None or rank < best_cost:
            best = target
            best_cost = rank
    return best
