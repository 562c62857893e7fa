"""The priority queue of sub-queries that wait for one target."""

import bisect
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

import xxhash

from almonddock_core.model import AttemptId, SubQuery, Urgency


@dataclass(frozen=True, slots=True)
class WaitingSubQuery:
    """A sub-query in the queue."""

    sub: SubQuery
    #: When it was queued.
    since: timedelta


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The sort key of a sub-query; the lowest is sent first."""

    urgency: Urgency
    deadline: timedelta
    #: The worth, negated so that higher worth sorts first.
    negated_worth: float
    attempt_id: AttemptId


@dataclass(frozen=True, slots=True, order=True)
class Value:
    """The value of a sub-query; the lowest is shed first.

    Ties are broken by a hash of the request, so that all owners shed the
    sub-queries of the same requests and leave other requests complete.
    """

    #: The urgency, negated so that the most urgent has the highest value.
    negated_urgency: int
    worth: float
    request_hash: int


class TargetQueue:
    """Keeps sub-queries sorted by urgency, then deadline, then worth."""

    def __init__(self) -> None:
        self._ordered: list[WaitingSubQuery] = []
        self._by_attempt: dict[AttemptId, WaitingSubQuery] = {}

    def __len__(self) -> int:
        """Returns how many sub-queries wait."""
        return len(self._ordered)

    def __iter__(self) -> Iterator[WaitingSubQuery]:
        """Yields the waiting sub-queries in the order of sending."""
        return iter(tuple(self._ordered))

    def __contains__(self, attempt_id: AttemptId) -> bool:
        """Returns whether the try is in the queue."""
        return attempt_id in self._by_attempt

    def add(self, waiting: WaitingSubQuery) -> None:
        """Inserts a sub-query by its rank."""
        self._by_attempt[waiting.sub.attempt_id] = waiting
        bisect.insort(self._ordered, waiting, key=compute_rank)

    def remove(self, attempt_id: AttemptId) -> WaitingSubQuery | None:
        """Removes and returns a try; None when it is not in the queue."""
        waiting = self._by_attempt.pop(attempt_id, None)
        if waiting is not None:
            self._ordered.remove(waiting)
        return waiting

    def take_first(self) -> WaitingSubQuery:
        """Removes and returns the sub-query of the lowest rank."""
        first = self._ordered.pop(0)
        del self._by_attempt[first.sub.attempt_id]
        return first


def compute_rank(waiting: WaitingSubQuery) -> Rank:
    """Returns the sort key of a waiting sub-query."""
    sub = waiting.sub
    return Rank(sub.urgency, sub.deadline, -sub.worth, sub.attempt_id)


def compute_value(waiting: WaitingSubQuery) -> Value:
    """Returns the value by which sub-queries are shed."""
    sub = waiting.sub
    request_hash = xxhash.xxh3_64_intdigest(sub.request_id.encode())
    return Value(-sub.urgency, sub.worth, request_hash)
