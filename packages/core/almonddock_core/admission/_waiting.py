"""Queries that wait for admission."""

import bisect
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Query, RequestId, Urgency


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The place of a query; the smallest goes first and is shed last."""

    urgency: Urgency
    #: The worth for each sub-query, negated so that more goes first.
    cost: float
    deadline: timedelta
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class Waiting:
    """A query that waits."""

    query: Query
    #: The sub-queries that it needs.
    units: int

    @property
    def rank(self) -> Rank:
        """Its place by urgency, then by worth for each unit of work."""
        query = self.query
        return Rank(
            query.urgency,
            -query.worth / max(self.units, 1),
            query.deadline,
            query.request_id,
        )


class WaitingRoom:
    """Waiting queries in the order of their ranks."""

    def __init__(self) -> None:
        self._ordered: list[Waiting] = []

    def __len__(self) -> int:
        """Returns how many queries wait."""
        return len(self._ordered)

    @property
    def first(self) -> Waiting | None:
        """The query that goes first, None without any."""
        return self._ordered[0] if self._ordered else None

    def add(self, waiting: Waiting) -> None:
        """Inserts a query at its place."""
        bisect.insort(self._ordered, waiting, key=_get_rank)

    def take_first(self) -> Waiting:
        """Takes out the query that goes first."""
        return self._ordered.pop(0)

    def take_last(self) -> Waiting:
        """Takes out the query that is given up first."""
        return self._ordered.pop()

    def take_late(self, latest: timedelta) -> list[Waiting]:
        """Takes out the queries whose deadline is before ``latest``."""
        late = [one for one in self._ordered if one.query.deadline < latest]
        if late:
            self._ordered = [
                one for one in self._ordered if one.query.deadline >= latest
            ]
        return late

    def remove(self, request_id: RequestId) -> None:
        """Takes out one query, if it waits."""
        self._ordered = [
            one for one in self._ordered if one.query.request_id != request_id
        ]

    def next_deadline(self) -> timedelta | None:
        """Returns the earliest deadline, None without any query."""
        deadlines = (one.query.deadline for one in self._ordered)
        return min(deadlines, default=None)


def _get_rank(waiting: Waiting) -> Rank:
    return waiting.rank
