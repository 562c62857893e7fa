"""Sub-queries that wait for one target."""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

import xxhash

from almonddock_core.model import AttemptId, SubQuery, Urgency


@dataclass(frozen=True, slots=True)
class Waiting:
    """A sub-query in the queue."""

    sub: SubQuery
    #: When it was offered.
    since: timedelta


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The place of a sub-query in the queue; the smallest goes first."""

    urgency: Urgency
    deadline: timedelta
    #: The worth, negated so that more goes first.
    cost: float
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True, order=True)
class Value:
    """What is given up by shedding a sub-query; the smallest is shed first.

    Ties are broken by a hash of the request, so that all owners shed the
    sub-queries of the same requests and other requests stay whole.
    """

    #: The urgency, negated so that the most urgent is worth most.
    urgency: int
    worth: float
    request_hash: int


class TargetQueue:
    """Waiting sub-queries by urgency, then deadline, then worth."""

    def __init__(self) -> None:
        self._ordered: list[Waiting] = []
        self._known: dict[AttemptId, Waiting] = {}

    def __len__(self) -> int:
        """Returns how many sub-queries wait."""
        return len(self._ordered)

    def __iter__(self) -> Iterator[Waiting]:
        """Yields the waiting sub-queries, the first to go first."""
        return iter(tuple(self._ordered))

    def __contains__(self, attempt_id: AttemptId) -> bool:
        """Returns whether the try waits here."""
        return attempt_id in self._known

    def add(self, waiting: Waiting) -> None:
        """Inserts a sub-query at its place."""
        self._known[waiting.sub.attempt_id] = waiting
        bisect.insort(self._ordered, waiting, key=compute_rank)

    def remove(self, attempt_id: AttemptId) -> Waiting | None:
        """Takes one try out; None when it does not wait here."""
        waiting = self._known.pop(attempt_id, None)
        if waiting is not None:
            self._ordered.remove(waiting)
        return waiting

    def take_first(self) -> Waiting:
        """Takes out the sub-query that goes first."""
        first = self._ordered.pop(0)
        del self._known[first.sub.attempt_id]
        return first


def compute_rank(waiting: Waiting) -> Rank:
    """Returns the place of a waiting sub-query."""
    sub = waiting.sub
    return Rank(sub.urgency, sub.deadline, -sub.worth, sub.attempt_id)


def compute_value(waiting: Waiting) -> Value:
    """Returns what shedding the sub-query gives up."""
    sub = waiting.sub
    request_hash = xxhash.xxh3_64_intdigest(sub.request_id.encode())
    return Value(-sub.urgency, sub.worth, request_hash)
