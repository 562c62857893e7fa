"""Fake transports and links that record calls."""

import asyncio
import errno
import tracemalloc
from collections.abc import Callable
from datetime import timedelta

from almonddock_core.routing import CallerLimits
from almonddock_gateway.relays import LinkMessage
from almonddock_gateway.settings import HeaderNames

NAMES = HeaderNames(
    attempt_id=b'x-attempt',
    deadline=b'x-deadline',
    stamp=b'x-stamp',
    expected_target=b'x-expected',
    not_executed=b'x-not-executed',
    part_stamps=b'x-parts',
    missing_parts=b'x-missing',
    health_target=b'x-target',
    cold_for=b'x-cold',
    leaving=b'x-leaving',
    organisation=b'x-organisation',
    key_scheme=b'token',
)

LIMITS = CallerLimits(
    header_bytes=300,
    body_bytes=20,
    header_timeout=timedelta(seconds=3),
    idle_timeout=timedelta(seconds=15),
)


def measure_memory(
    receive: Callable[[bytes], None], *parts: bytes
) -> tuple[int, int]:
    """Receives parts; returns the bytes left allocated, and their peak."""
    tracemalloc.start()
    try:
        for part in parts:
            receive(part)
        return tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()


class FakeTransport(asyncio.Transport):
    """Records written bytes, and whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b''
        self.closed = False
        self.ended = False
        self.reading_paused = False
        #: The bytes that wait for the peer to read.
        self.unread = 0
        #: Whether the peer has reset the connection without a callback yet.
        self.reset = False

    def write(self, data: object) -> None:
        """Records bytes."""
        assert isinstance(data, bytes)
        self.written += data

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Ignores the limits: a test pauses writing itself."""

    def can_write_eof(self) -> bool:
        """Whether one direction can be closed."""
        return True

    def write_eof(self) -> None:
        """Closes the write direction."""
        if self.reset:
            raise OSError(errno.ENOTCONN, 'not connected')
        self.ended = True

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that the peer has not read."""
        return self.unread

    def pause_reading(self) -> None:
        """Receives nothing for now."""
        self.reading_paused = True

    def resume_reading(self) -> None:
        """Receives again."""
        self.reading_paused = False

    def is_closing(self) -> bool:
        """Whether the transport is closed."""
        return self.closed

    def close(self) -> None:
        """Closes."""
        self.closed = True

    def abort(self) -> None:
        """Closes immediately."""
        self.closed = True

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Returns no socket."""
        return default


class FakeLink:
    """Records sent messages."""

    def __init__(self) -> None:
        self.sent: list[LinkMessage] = []
        self.usable = True

    def send(self, message: LinkMessage) -> None:
        """Records a message."""
        self.sent.append(message)
