"""Writes structured log lines at a bounded rate, without blocking.

Lines are buffered in memory and written as the reader accepts them. Lines
beyond the budget of the current second, or beyond the buffer while the reader
stalls, are dropped and counted; the next line reports the counts.
"""

import enum
import os
import time
from collections import Counter, deque
from datetime import UTC, datetime
from typing import Any

import orjson

#: The most lines per second of one host. Each :class:`LineBudget` has its own
#: share, so that lines on successful requests never displace failures.
LINES_PER_SECOND = 400

#: Writes of at most this many bytes to a pipe are atomic (PIPE_BUF, pipe(7)).
ATOMIC_BYTES = 4096

#: The most bytes that are buffered while the reader stalls.
MAX_WAITING_BYTES = 1024 * 1024


class LineBudget(enum.Enum):
    """The share of :data:`LINES_PER_SECOND` for each kind of line."""

    #: Starts, stops, and changes in the known state of dependencies.
    STATE = 0.3
    #: Requests that failed, were rejected, or were late.
    FAILURE = 0.5
    #: Requests that succeeded in time.
    ROUTINE = 0.2


class LineWriter:
    """Buffers lines and writes them without blocking."""

    def __init__(self, descriptor: int, fixed: dict[str, str]) -> None:
        """Makes ``descriptor`` non-blocking; adds ``fixed`` to each line."""
        self._descriptor = descriptor
        self._fixed = fixed
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._second = 0
        self._written: Counter[LineBudget] = Counter()
        self._dropped: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def has_room(self, budget: LineBudget) -> bool:
        """Whether the budget of this second allows one more line."""
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
        """Counts a dropped line that the caller did not build."""
        self._dropped[event] += 1

    def flush(self) -> None:
        """Writes as much as the reader accepts now."""
        while self._waiting:
            chunk = self._take_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, so the error cannot be reported here.
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
