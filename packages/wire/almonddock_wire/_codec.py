"""Encodes and decodes messages.

To add a message, add it to ``messages.capnp`` (at the end of the union) and to
``_messages.py``, and the functions that write and read it to ``_WRITERS`` and
``_READERS``.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType
from typing import Any

import capnp

from almonddock_core.configuration import (
    ConfigurationHead,
    DocumentReply,
    DocumentRequest,
)
from almonddock_core.framing import BadFrameError
from almonddock_core.idempotency import (
    Claim,
    Decision,
    Finish,
    Grant,
    Refuse,
    Repeat,
)
from almonddock_core.membership import Probe, ProbeReply, ProbeRequest
from almonddock_core.owners import (
    Handover,
    LeaseMessage,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
)
from almonddock_wire import _claims as claims
from almonddock_wire import _configuration as configuration
from almonddock_wire import _membership as membership
from almonddock_wire._leases import (
    read_handover,
    read_lease_release,
    read_lease_reply,
    read_lease_request,
    write_handover,
    write_lease_release,
    write_lease_reply,
    write_lease_request,
)
from almonddock_wire._links import (
    read_hello,
    read_ping,
    read_pong,
    write_hello,
    write_ping,
    write_pong,
)
from almonddock_wire._messages import (
    CancelBatch,
    Hello,
    Ping,
    Pong,
    SubQueryBatch,
    SubReplyBatch,
)
from almonddock_wire._packing import WORD_BYTES, unpack
from almonddock_wire._schema import FRAME
from almonddock_wire._sub_queries import (
    read_cancel,
    read_sub_queries,
    write_cancel,
    write_sub_queries,
)
from almonddock_wire._sub_replies import read_sub_replies, write_sub_replies

MembershipMessage = Probe | ProbeReply | ProbeRequest
ClaimMessage = Claim | Finish | Decision
ConfigurationMessage = ConfigurationHead | DocumentRequest | DocumentReply
Message = (
    Hello
    | Ping
    | Pong
    | SubQueryBatch
    | SubReplyBatch
    | CancelBatch
    | MembershipMessage
    | ConfigurationMessage
    | LeaseMessage
    | ClaimMessage
)

_WRITERS: Mapping[
    type[Any],
    Callable[[Any, Any, timedelta], None],
] = MappingProxyType(
    {
        Hello: write_hello,
        Ping: write_ping,
        Pong: write_pong,
        SubQueryBatch: write_sub_queries,
        SubReplyBatch: write_sub_replies,
        CancelBatch: write_cancel,
        LeaseRequest: write_lease_request,
        LeaseReply: write_lease_reply,
        LeaseRelease: write_lease_release,
        Handover: write_handover,
        Probe: membership.write_probe,
        ProbeReply: membership.write_probe_reply,
        ProbeRequest: membership.write_probe_request,
        ConfigurationHead: configuration.write_head,
        DocumentRequest: configuration.write_document_request,
        DocumentReply: configuration.write_document_reply,
        Claim: claims.write_claim,
        Finish: claims.write_finish,
        Grant: claims.write_decision,
        Refuse: claims.write_decision,
        Repeat: claims.write_decision,
    }
)

_READERS: Mapping[
    str,
    Callable[[Any, timedelta], Message],
] = MappingProxyType(
    {
        'hello': read_hello,
        'ping': read_ping,
        'pong': read_pong,
        'subQueries': read_sub_queries,
        'subReplies': read_sub_replies,
        'cancel': read_cancel,
        'leaseRequest': read_lease_request,
        'leaseReply': read_lease_reply,
        'leaseRelease': read_lease_release,
        'handover': read_handover,
        'probe': membership.read_probe,
        'probeReply': membership.read_probe_reply,
        'probeRequest': membership.read_probe_request,
        'configurationHead': configuration.read_head,
        'documentRequest': configuration.read_document_request,
        'documentReply': configuration.read_document_reply,
        'claim': claims.read_claim,
        'finish': claims.read_finish,
        'decision': claims.read_decision,
    }
)


#: The deepest pointers: frame, message, list, item, text.
MAX_NESTING = 5

#: Errors that malformed bytes raise: bad pointers, invalid text, unknown codes.
_DECODING_ERRORS = (
    capnp.KjException,
    IndexError,
    OverflowError,
    ValueError,
)


def encode(message: Message, now: timedelta) -> bytes:
    """Returns the bytes of one message.

    Args:
        message: What to send.
        now: The sender's time; deadlines are sent as the time remaining.
    """
    frame = FRAME.new_message()
    _WRITERS[type(message)](frame, message, now)
    encoded: bytes = frame.to_bytes_packed()
    return encoded


def decode(encoded: bytes, now: timedelta) -> Message:
    """Returns the message in the bytes of one frame.

    Args:
        encoded: The bytes, without any length prefix.
        now: The receiver's time, to which remaining times are added.

    Raises:
        BadFrameError: the bytes are not a message of the schema.
    """
    try:
        return _decode_frame(encoded, now)
    except _DECODING_ERRORS as error:
        raise BadFrameError(f'a frame cannot be decoded: {error}') from error


def _decode_frame(encoded: bytes, now: timedelta) -> Message:
    words = unpack(encoded)
    opened = FRAME.from_bytes(
        words,
        # Each word may be read once, so lists that overlap are rejected.
        traversal_limit_in_words=len(words) // WORD_BYTES,
        nesting_limit=MAX_NESTING,
    )
    with opened as frame:
        kind = str(frame.which())
        return _READERS[kind](getattr(frame, kind), now)
