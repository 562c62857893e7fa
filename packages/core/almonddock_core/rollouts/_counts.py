"""What hosts count of the requests to a service's old and new version."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class Tally:
    """Answers of one version on one route, from one data centre."""

    answered: int = 0
    failed: int = 0
    #: Answers, or waits that were cancelled, several times the typical time.
    late: int = 0

    def __add__(self, other: 'Tally') -> 'Tally':
        """Returns the sum."""
        return Tally(
            self.answered + other.answered,
            self.failed + other.failed,
            self.late + other.late,
        )

    def __sub__(self, other: 'Tally') -> 'Tally':
        """Returns what was counted since an earlier tally."""
        return Tally(
            max(0, self.answered - other.answered),
            max(0, self.failed - other.failed),
            max(0, self.late - other.late),
        )


@dataclass(frozen=True, slots=True)
class Group:
    """Answers that may be compared between versions."""

    is_new: bool
    route: str
    #: The data centre of the target.
    data_centre: str


Tallies = Mapping[Group, Tally]


@dataclass(frozen=True, slots=True)
class HostCounts:
    """All that one run of a host has counted for one order."""

    host: str
    #: Differs between runs of the same host, whose counts start anew.
    run: int
    service: str
    order_revision: int
    #: The number of the stage that the host acts on.
    stage_number: int
    #: Requests to the service, without retries and hedges.
    requests: int
    #: Requests to the new version, with retries and hedges.
    exposed: int
    tallies: Tallies = field(default_factory=dict)

    def is_newer_than(self, other: 'HostCounts') -> bool:
        """Whether it was counted after another of the same run."""
        mine = (self.requests, self.exposed, self.stage_number)
        others = (other.requests, other.exposed, other.stage_number)
        answered = _count_answers(self.tallies)
        return (*mine, answered) > (*others, _count_answers(other.tallies))


@dataclass(frozen=True, slots=True)
class ServiceCounts:
    """The counts of all hosts together."""

    requests: int = 0
    exposed: int = 0
    tallies: Tallies = field(default_factory=dict)

    def subtract(self, earlier: 'ServiceCounts') -> 'ServiceCounts':
        """Returns what was counted since an earlier moment."""
        before = earlier.tallies
        return ServiceCounts(
            max(0, self.requests - earlier.requests),
            max(0, self.exposed - earlier.exposed),
            {
                group: tally - before.get(group, Tally())
                for group, tally in self.tallies.items()
            },
        )

    def count_bad(self) -> int:
        """Returns the bad answers of the new version."""
        return sum(
            tally.failed + tally.late
            for group, tally in self.tallies.items()
            if group.is_new
        )

    def count_new_answers(self) -> int:
        """Returns the answers of the new version."""
        return sum(
            tally.answered
            for group, tally in self.tallies.items()
            if group.is_new
        )


class CountTable:
    """The newest counts of each run of each host, from any teller.

    A run is told of by several hosts, in any order and more than once: the
    largest counts stay.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str, int], HostCounts] = {}

    def record(self, counts: HostCounts) -> None:
        """Takes a row in if it is newer than the one known."""
        key = (counts.service, counts.host, counts.run)
        known = self._rows.get(key)
        if known is not None:
            if known.order_revision > counts.order_revision:
                return
            is_same = known.order_revision == counts.order_revision
            if is_same and not counts.is_newer_than(known):
                return
        self._rows[key] = counts

    def list_rows(self, service: str, order_revision: int) -> list[HostCounts]:
        """Returns the rows of one order."""
        return [
            row
            for row in self._rows.values()
            if row.service == service and row.order_revision == order_revision
        ]

    def list_all(self) -> list[HostCounts]:
        """Returns the rows of all orders."""
        return list(self._rows.values())

    def sum(self, service: str, order_revision: int) -> ServiceCounts:
        """Returns the counts of all hosts for one order."""
        return sum_counts(self.list_rows(service, order_revision))

    def move(self, service: str, before: int, after: int) -> None:
        """Gives the rows of an order its revision in a later era."""
        for key, row in self._rows.items():
            if row.service == service and row.order_revision == before:
                self._rows[key] = replace(row, order_revision=after)

    def drop_others(self, order_revisions: Mapping[str, int]) -> None:
        """Keeps the rows of these orders only, by service."""
        self._rows = {
            key: row
            for key, row in self._rows.items()
            if order_revisions.get(row.service) == row.order_revision
        }


def sum_counts(rows: Iterable[HostCounts]) -> ServiceCounts:
    """Returns the counts of several hosts together."""
    requests = 0
    exposed = 0
    tallies: defaultdict[Group, Tally] = defaultdict(Tally)
    for row in rows:
        requests += row.requests
        exposed += row.exposed
        for group, tally in row.tallies.items():
            tallies[group] += tally
    return ServiceCounts(requests, exposed, dict(tallies))


def _count_answers(tallies: Tallies) -> int:
    return sum(tally.answered for tally in tallies.values())
