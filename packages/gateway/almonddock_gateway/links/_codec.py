"""Encodes and decodes messages with pycapnp."""

import pathlib
from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from types import MappingProxyType
from typing import Any

import capnp

from almonddock_core.framing import BadFrameError
from almonddock_core.quotas import CreditQuery, CreditReply
from almonddock_gateway.links._columns import read_column
from almonddock_gateway.links._cost_codec import read_costs, write_costs
from almonddock_gateway.links._credit_codec import (
    read_credit_query,
    read_credit_reply,
    write_credit_query,
    write_credit_reply,
)
from almonddock_gateway.links._loan_codec import (
    read_grant_query,
    read_grant_reply,
    write_grant_query,
    write_grant_reply,
)
from almonddock_gateway.links._store_codec import (
    read_store_query,
    read_store_reply,
    write_store_query,
    write_store_reply,
)
from almonddock_gateway.relays import (
    GrantQuery,
    GrantReply,
    Leaving,
    LinkMessage,
    PartFailure,
    Ping,
    Pong,
    RelayCancel,
    RelayQuery,
    RelayReply,
    StoreQuery,
    StoreReply,
    UnknownMessage,
)

capnp.remove_import_hook()

_SCHEMA: Any = capnp.load(
    str(pathlib.Path(__file__).with_name('messages.capnp')),
)

US = timedelta(microseconds=1)
MAX_UINT32 = 0xFFFFFFFF

#: The bytes of a word, of which encoded messages are made up.
WORD_BYTES = 8

#: The deepest pointers: frame, message, list, text.
MAX_NESTING = 4


def encode(message: LinkMessage) -> bytes:
    """Returns one encoded message, without the length prefix.

    The encoding is not packed: the packed decoder of pycapnp ends the process
    when a message is cut short.
    """
    frame = _SCHEMA.Frame.new_message()
    _WRITERS[type(message)](frame, message)
    encoded: bytes = frame.to_bytes()
    return encoded


def decode(encoded: bytes) -> LinkMessage:
    """Returns a message; raises :class:`BadFrameError` if malformed."""
    opened = _SCHEMA.Frame.from_bytes(
        encoded,
        # Each word may be read once, so lists that overlap are rejected.
        traversal_limit_in_words=len(encoded) // WORD_BYTES,
        nesting_limit=MAX_NESTING,
    )
    try:
        with opened as frame:
            return _read(frame)
    except (capnp.KjException, ValueError, ArithmeticError) as fault:
        raise BadFrameError(f'a frame cannot be decoded: {fault}') from fault


def _read(frame: Any) -> LinkMessage:
    try:
        which = str(frame.which())
    except capnp.KjException:
        # The host at the other end is of a later release.
        return UnknownMessage()
    message = _READERS[which](getattr(frame, which))
    if isinstance(message, Ping | Pong):
        return replace(message, counts=bytes(frame.counts))
    return message


def _write_ping(frame: Any, message: Ping) -> None:
    frame.ping = message.number
    _write_counts(frame, message.counts)


def _write_pong(frame: Any, message: Pong) -> None:
    frame.pong = message.number
    _write_counts(frame, message.counts)


def _write_counts(frame: Any, counts: bytes) -> None:
    if counts:
        frame.counts = counts


def _write_leaving(frame: Any, message: Leaving) -> None:
    frame.leaving = None


def _write_cancel(frame: Any, message: RelayCancel) -> None:
    cancel = frame.init('cancel')
    cancel.number = message.number
    cancel.parts = message.parts


def _read_cancel(cancel: Any) -> RelayCancel:
    return RelayCancel(cancel.number, read_column(cancel.parts))


def _write_query(frame: Any, message: RelayQuery) -> None:
    query = frame.init('query')
    query.number = message.number
    query.head = message.head
    query.body = message.body
    query.attemptId = message.attempt_id
    query.remaining = max(0, message.remaining // US)
    query.flushAfter = max(0, message.flush_after // US)
    query.top = message.top
    query.floor = message.threshold
    query.priority = message.priority
    query.targets = message.targets
    query.typicalLatency = min(MAX_UINT32, message.typical_latency // US)
    if message.delay is not None:
        query.delayPlusOne = min(MAX_UINT32, message.delay // US + 1)


def _read_query(query: Any) -> RelayQuery:
    return RelayQuery(
        number=query.number,
        head=bytes(query.head),
        body=bytes(query.body),
        attempt_id=bytes(query.attemptId),
        remaining=query.remaining * US,
        flush_after=query.flushAfter * US,
        top=query.top,
        threshold=bytes(query.floor),
        priority=query.priority,
        targets=read_column(query.targets),
        typical_latency=query.typicalLatency * US,
        delay=(query.delayPlusOne - 1) * US if query.delayPlusOne else None,
    )


def _write_reply(frame: Any, message: RelayReply) -> None:
    reply = frame.init('reply')
    reply.number = message.number
    reply.parts = message.parts
    reply.stamps = message.stamps
    reply.elapsed = [elapsed // US for elapsed in message.elapsed]
    reply.records = message.records
    reply.failedParts = [part for part, _ in message.failures]
    reply.failures = [int(failure) for _, failure in message.failures]
    write_costs(reply, message.costs)


def _read_reply(reply: Any) -> RelayReply:
    return RelayReply(
        number=reply.number,
        parts=read_column(reply.parts),
        stamps=tuple(bytes(stamp) for stamp in read_column(reply.stamps)),
        elapsed=tuple(elapsed * US for elapsed in read_column(reply.elapsed)),
        records=bytes(reply.records),
        failures=tuple(
            (part, PartFailure(failure))
            for part, failure in zip(
                read_column(reply.failedParts),
                read_column(reply.failures),
                strict=True,
            )
        ),
        costs=read_costs(reply),
    )


_WRITERS: Mapping[type[LinkMessage], Callable[[Any, Any], None]] = (
    MappingProxyType(
        {
            CreditQuery: write_credit_query,
            CreditReply: write_credit_reply,
            GrantQuery: write_grant_query,
            GrantReply: write_grant_reply,
            Leaving: _write_leaving,
            Ping: _write_ping,
            Pong: _write_pong,
            RelayCancel: _write_cancel,
            RelayQuery: _write_query,
            RelayReply: _write_reply,
            StoreQuery: write_store_query,
            StoreReply: write_store_reply,
        },
    )
)

_READERS: Mapping[str, Callable[[Any], LinkMessage]] = MappingProxyType(
    {
        'cancel': _read_cancel,
        'creditQuery': read_credit_query,
        'creditReply': read_credit_reply,
        'grantQuery': read_grant_query,
        'grantReply': read_grant_reply,
        'leaving': lambda _: Leaving(),
        'ping': Ping,
        'pong': Pong,
        'query': _read_query,
        'reply': _read_reply,
        'storeQuery': read_store_query,
        'storeReply': read_store_reply,
    },
)
