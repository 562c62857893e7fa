"""Passes the counts of roll-outs on over links."""

from collections.abc import Callable, Iterable
from typing import Any
from weakref import WeakKeyDictionary

import orjson

from almonddock_core.rollouts import CountTable, Group, HostCounts, Tally
from almonddock_gateway.relays import MessageLink

#: The most rows in one message; the others go with the next.
MAX_ROWS = 400


class CountTeller:
    """Remembers which rows each link has carried."""

    def __init__(
        self, counts: CountTable, report: Callable[[str], None]
    ) -> None:
        """Calls ``report`` with the reason if counts cannot be read."""
        self._counts = counts
        self._report = report
        self._told: WeakKeyDictionary[MessageLink, set[HostRow]] = (
            WeakKeyDictionary()
        )

    def list_new(self, link: MessageLink) -> bytes:
        """Returns the rows that a link has not carried yet, encoded."""
        rows = {HostRow(row): row for row in self._counts.list_all()}
        told = self._told.get(link, set())
        new = [key for key in rows if key not in told][:MAX_ROWS]
        self._told[link] = (told & rows.keys()) | set(new)
        return encode_counts(rows[key] for key in new) if new else b''

    def record(self, encoded: bytes) -> None:
        """Takes in what another host has told."""
        try:
            rows = decode_counts(encoded)
        except (ValueError, TypeError, LookupError) as fault:
            self._report(repr(fault))
            return
        for row in rows:
            self._counts.record(row)


class HostRow:
    """A row by identity: a newer one of the same host is another."""

    __slots__ = ('_row',)

    def __init__(self, row: HostCounts) -> None:
        self._row = row

    def __eq__(self, other: object) -> bool:
        """Whether both are the same row."""
        return isinstance(other, HostRow) and self._row is other._row

    def __hash__(self) -> int:
        """Returns a hash of the row's identity."""
        return id(self._row)


def encode_counts(rows: Iterable[HostCounts]) -> bytes:
    """Returns rows as JSON, each as a list."""
    return orjson.dumps(
        [
            [
                row.host,
                row.run,
                row.service,
                row.order_revision,
                row.stage_number,
                row.requests,
                row.exposed,
                [
                    [
                        group.is_new,
                        group.route,
                        group.data_centre,
                        tally.answered,
                        tally.failed,
                        tally.late,
                    ]
                    for group, tally in row.tallies.items()
                ],
            ]
            for row in rows
        ]
    )


def decode_counts(encoded: bytes) -> list[HostCounts]:
    """Returns the rows.

    Raises:
        ValueError: the bytes are not JSON, or a list has another length.
        TypeError: a value has the wrong type.
    """
    return [_read_row(*row) for row in orjson.loads(encoded)]


def _read_row(host: str, run: int, service: str, *rest: Any) -> HostCounts:
    *numbers, tallies = rest
    order_revision, stage_number, requests, exposed = map(_read_count, numbers)
    return HostCounts(
        str(host),
        _read_count(run),
        str(service),
        order_revision,
        stage_number,
        requests,
        exposed,
        dict(_read_tally(*tally) for tally in tallies),
    )


def _read_tally(
    is_new: bool, route: str, data_centre: str, *numbers: int
) -> tuple[Group, Tally]:
    answered, failed, late = map(_read_count, numbers)
    group = Group(bool(is_new), str(route), str(data_centre))
    return group, Tally(answered, failed, late)


def _read_count(number: Any) -> int:
    if not isinstance(number, int) or number < 0:
        raise ValueError(f'{number!r} is not a count')
    return number
