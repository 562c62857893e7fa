"""Structured log lines on standard output, bounded and never waiting.

Lines are kept in memory and written when the reader has room. Beyond the
budget of a second, or when the reader stalls, lines are dropped and counted;
the next line that is written tells how many.
"""

import enum
import os
import time
from collections import Counter, deque
from datetime import UTC, datetime
from typing import Any

import orjson

#: Lines a second that one host writes, by importance. Failures come first:
#: each kind has room of its own, so that good answers never displace them.
LINES_PER_SECOND = 400

#: A write of at most so many bytes to a pipe is not torn (pipe(7)).
ATOMIC_BYTES = 4096

#: Bytes that wait for a reader that has stalled.
MAX_WAITING_BYTES = 1024 * 1024


class LineBudget(enum.Enum):
    """The share of the lines of a second that a kind of line may take."""

    #: Changes of belief, starts, stops and dependencies.
    BELIEF = 0.3
    #: Requests that failed, were refused, or were late.
    FAILURE = 0.5
    #: Requests that were answered well.
    ROUTINE = 0.2


class LineWriter:
    """Collects lines and writes them without blocking."""

    def __init__(self, descriptor: int, fixed: dict[str, str]) -> None:
        """Takes the file descriptor and the fields of every line."""
        self._descriptor = descriptor
        self._fixed = fixed
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._second = 0
        self._written: Counter[LineBudget] = Counter()
        self._dropped: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def has_room(self, budget: LineBudget) -> bool:
        """Whether a line of this kind would be written now."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        return self._written[budget] < LINES_PER_SECOND * budget.value

    def write(self, budget: LineBudget, event: str, /, **fields: Any) -> None:
        """Adds a line, or counts it as dropped."""
        full = self._waiting_bytes > MAX_WAITING_BYTES
        if full or not self.has_room(budget):
            self._dropped[event] += 1
            return
        self._written[budget] += 1
        line = {
            'time': datetime.now(UTC).isoformat(timespec='milliseconds'),
            'event': event,
            **self._fixed,
            **fields,
        }
        if self._dropped:
            line['dropped'] = dict(self._dropped)
            self._dropped.clear()
        encoded = orjson.dumps(
            line, default=str, option=orjson.OPT_APPEND_NEWLINE
        )
        self._waiting.append(encoded)
        self._waiting_bytes += len(encoded)

    def count_dropped(self, event: str) -> None:
        """Counts a line that was not even built."""
        self._dropped[event] += 1

    def flush(self) -> None:
        """Writes as much as the reader takes now."""
        while self._waiting:
            chunk = self._take_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, so nobody would see a report of this.
                written = len(chunk)
            self._waiting_bytes -= written
            if written < len(chunk):
                self._waiting.appendleft(chunk[written:])
                return

    def _take_chunk(self) -> bytes:
        """Returns whole lines up to the size of an atomic write."""
        lines = [self._waiting.popleft()]
        size = len(lines[0])
        while self._waiting:
            size += len(self._waiting[0])
            if size > ATOMIC_BYTES:
                break
            lines.append(self._waiting.popleft())
        return b''.join(lines)
