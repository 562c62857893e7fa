"""The priority queue of queries that wait for admission."""

import bisect
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Query, RequestId, Urgency


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The sort key of a query; the lowest is admitted first, shed last."""

    urgency: Urgency
    #: The worth per sub-query, negated so that higher worth sorts first.
    negated_worth: float
    deadline: timedelta
    request_id: RequestId


@dataclass(frozen=True, slots=True)
class WaitingQuery:
    """A query that waits for admission."""

    query: Query
    #: The number of sub-queries that it needs.
    units: int

    @property
    def rank(self) -> Rank:
        """The sort key: urgency, then worth per sub-query, then deadline."""
        query = self.query
        return Rank(
            query.urgency,
            -query.worth / max(self.units, 1),
            query.deadline,
            query.request_id,
        )


class WaitingQueue:
    """Keeps waiting queries sorted by rank."""

    def __init__(self) -> None:
        self._ordered: list[WaitingQuery] = []

    def __len__(self) -> int:
        """Returns how many queries wait."""
        return len(self._ordered)

    @property
    def first(self) -> WaitingQuery | None:
        """The query of the lowest rank, None without any."""
        return self._ordered[0] if self._ordered else None

    def add(self, waiting: WaitingQuery) -> None:
        """Inserts a query by its rank."""
        bisect.insort(self._ordered, waiting, key=_get_rank)

    def take_first(self) -> WaitingQuery:
        """Removes and returns the query of the lowest rank."""
        return self._ordered.pop(0)

    def take_last(self) -> WaitingQuery:
        """Removes and returns the query that is shed first."""
        return self._ordered.pop()

    def take_late(self, earliest_end: timedelta) -> list[WaitingQuery]:
        """Removes and returns queries that cannot end by their deadline."""
        late = [
            one for one in self._ordered if one.query.deadline < earliest_end
        ]
        if late:
            self._ordered = [
                one
                for one in self._ordered
                if one.query.deadline >= earliest_end
            ]
        return late

    def remove(self, request_id: RequestId) -> None:
        """Removes a query if it waits."""
        self._ordered = [
            one for one in self._ordered if one.query.request_id != request_id
        ]

    def next_deadline(self) -> timedelta | None:
        """Returns the earliest deadline, None without any query."""
        deadlines = (one.query.deadline for one in self._ordered)
        return min(deadlines, default=None)


def _get_rank(waiting: WaitingQuery) -> Rank:
    return waiting.rank
