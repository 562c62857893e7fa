"""Messages between hosts, encoded with pycapnp.

:func:`encode` and :func:`decode` turn one message into bytes and back;
:func:`add_length_prefix` and :class:`FrameReader` delimit frames on a byte
stream.
"""

from almonddock_core.framing import (
    MAX_FRAME_BYTES,
    BadFrameError,
    FrameReader,
    OversizedFrameError,
    add_length_prefix,
)
from almonddock_wire._codec import Message, decode, encode
from almonddock_wire._messages import (
    CancelBatch,
    Hello,
    Ping,
    Pong,
    SubQueryBatch,
    SubReplyBatch,
)

__all__ = [
    'MAX_FRAME_BYTES',
    'BadFrameError',
    'CancelBatch',
    'FrameReader',
    'Hello',
    'Message',
    'OversizedFrameError',
    'Ping',
    'Pong',
    'SubQueryBatch',
    'SubReplyBatch',
    'add_length_prefix',
    'decode',
    'encode',
]
