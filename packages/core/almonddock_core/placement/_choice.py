"""Chooses the target of a request among the replicas of a service."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol, TypeVar

from almonddock_core.placement._health import TargetHealth

#: What a target in another data centre costs more, in typical latencies:
#: bytes between data centres are paid for, and the way is longer.
REMOTE_COST = 0.8

#: What a target costs more outside the data centre that a query favours: the
#: replies of one data centre travel merged, so two cost twice the bytes.
SPREAD_COST = 1.2

#: What a cold target costs more, in typical latencies.
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
        """What the target says of itself."""
        ...


TargetT = TypeVar('TargetT', bound=Candidate)


def choose_target(
    candidates: Sequence[TargetT],
    data_centre: str,
    now: timedelta,
    favoured: str | None = None,
) -> TargetT | None:
    """Returns the candidate with the least cost, None without candidates.

    ``favoured`` is the other data centre that the query's sub-queries go to
    if one has to leave this one, None while it does not matter.

    Targets that broke off a moment ago come last: they are tried when no
    other is left, because a refused connection costs little.
    """
    best: TargetT | None = None
    best_cost = (True, float('inf'))
    for target in candidates:
        health = target.health
        cost = health.estimate_cost(now)
        place = target.entry.data_centre
        if place != data_centre:
            cost += REMOTE_COST
            if favoured not in {None, place}:
                cost += SPREAD_COST
        if target.cold_until > now:
            cost += COLD_COST
        ranked = (health.ejected_until > now, cost)
        if best is None or ranked < best_cost:
            best = target
            best_cost = ranked
    return best
