"""Splits a byte stream into frames with a 4-byte big-endian length prefix."""

import struct
from collections.abc import Iterator

from almonddock_core.framing._errors import OversizedFrameError

MAX_FRAME_BYTES = 8 * 1024 * 1024

_PREFIX = struct.Struct('>I')


def add_length_prefix(encoded: bytes) -> bytes:
    """Returns the frame with its length prefix.

    Raises:
        OversizedFrameError: The frame is longer than ``MAX_FRAME_BYTES``.
    """
    if len(encoded) > MAX_FRAME_BYTES:
        raise OversizedFrameError(
            f'a frame of {len(encoded)} bytes exceeds {MAX_FRAME_BYTES}',
        )
    return _PREFIX.pack(len(encoded)) + encoded


class FrameReader:
    """Buffers received bytes until a frame is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def held(self) -> int:
        """The bytes of incomplete frames."""
        return len(self._buffer)

    def feed(self, received: bytes) -> Iterator[bytes]:
        """Yields each frame that the received bytes complete.

        Raises:
            OversizedFrameError: A length exceeds ``MAX_FRAME_BYTES``.
        """
        self._buffer += received
        start = 0
        while len(self._buffer) - start >= _PREFIX.size:
            length = _PREFIX.unpack_from(self._buffer, start)[0]
            if length > MAX_FRAME_BYTES:
                raise OversizedFrameError(
                    f'a frame of {length} bytes exceeds {MAX_FRAME_BYTES}',
                )
            end = start + _PREFIX.size + length
            if end > len(self._buffer):
                break
            yield bytes(self._buffer[start + _PREFIX.size : end])
            start = end
        if start:
            del self._buffer[:start]
