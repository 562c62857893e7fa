"""Length-prefixed frames on a byte stream between two hosts."""

from almonddock_core.framing._errors import BadFrameError, OversizedFrameError
from almonddock_core.framing._framing import (
    MAX_FRAME_BYTES,
    FrameReader,
    add_length_prefix,
)

__all__ = [
    'BadFrameError',
    'FrameReader',
    'MAX_FRAME_BYTES',
    'OversizedFrameError',
    'add_length_prefix',
]
