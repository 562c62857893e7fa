"""Messages on a byte stream: frames between hosts, sizes of replies."""

from almonddock_core.framing._errors import BadFrameError, OversizedFrameError
from almonddock_core.framing._framing import (
    MAX_FRAME_BYTES,
    FrameReader,
    add_length_prefix,
)
from almonddock_core.framing._replies import (
    CHUNK_OVERHEAD,
    MAX_REPLY_BYTES,
    is_oversized,
)

__all__ = [
    'CHUNK_OVERHEAD',
    'MAX_FRAME_BYTES',
    'MAX_REPLY_BYTES',
    'BadFrameError',
    'FrameReader',
    'OversizedFrameError',
    'add_length_prefix',
    'is_oversized',
]
