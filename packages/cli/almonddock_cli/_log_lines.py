"""Parses the log lines of gateways."""

import pathlib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import Any

import orjson

#: The fields of every log line of a gateway.
LINE_FIELDS = frozenset(('time', 'event', 'host'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a gateway."""

    time: datetime
    event: str
    host: str
    fields: Mapping[str, Any]

    @property
    def request_id(self) -> str | None:
        """The id of the request that the line is about, if any."""
        return self.fields.get('request_id')


def read_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Returns the lines of all files, sorted by time.

    A prefix that a log collector writes before the JSON of a line is skipped,
    and so are the lines of other programs.
    """
    lines: list[LogLine] = []
    for path in paths:
        lines.extend(parse_lines(path.read_bytes().splitlines()))
    return sorted(lines, key=lambda line: line.time)


def parse_lines(raw_lines: Sequence[bytes]) -> Iterator[LogLine]:
    """Yields the lines of gateways; lines of other programs are skipped."""
    for raw in raw_lines:
        line = _parse_line(raw)
        if line is not None:
            yield line


def _parse_line(raw: bytes) -> LogLine | None:
    try:
        found = orjson.loads(raw[raw.find(b'{') :])
    except orjson.JSONDecodeError:
        # Gateways write only JSON, so another program wrote this line.
        return None
    if not isinstance(found, dict) or not found.keys() >= LINE_FIELDS:
        return None
    return LogLine(
        time=datetime.fromisoformat(found['time']),
        event=found['event'],
        host=found['host'],
        fields=found,
    )
