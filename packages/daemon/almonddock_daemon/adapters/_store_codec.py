"""Requests and replies of the etcd v3 JSON gateway.

Keys and values travel in base64, 64-bit numbers as strings, and fields with
their default value are left out of replies.
"""

import base64
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from almonddock_core.store import (
    Conflict,
    StoredValue,
    Swapped,
    SwapResult,
    SwapValue,
)

JsonObject = Mapping[str, Any]

_KEY = 'key'


@dataclass(frozen=True, slots=True)
class WatchReply:
    """One message of a watch stream."""

    #: The store's revision when the message was sent.
    store_revision: int
    #: Each change in order: the revision and the value, None if deleted.
    changes: tuple[tuple[int, StoredValue | None], ...] = ()
    #: Whether the store ended the watch, as after a compaction.
    cancelled: bool = False


def encode_text(text: str | bytes) -> str:
    """Returns a key or value in base64, as the gateway expects it."""
    content = text.encode() if isinstance(text, str) else text
    return base64.b64encode(content).decode('ascii')


def find_prefix_end(prefix: str) -> str:
    """Returns the first key after all keys with the prefix, in base64."""
    content = prefix.encode()
    return encode_text(content[:-1] + bytes((content[-1] + 1,)))


def build_swap(call: SwapValue) -> JsonObject:
    """Returns a transaction that writes only at expected revisions."""
    compares = [_build_compare(call.key, call.expected)]
    if call.guard is not None:
        compares.append(_build_compare(call.guard.key, call.guard.revision))
    return {
        'compare': compares,
        'success': [{'request_put': build_put(call.key, call.content)}],
        'failure': [{'request_range': {_KEY: encode_text(call.key)}}],
    }


def build_put(key: str, content: bytes) -> JsonObject:
    """Returns a write of one key."""
    return {_KEY: encode_text(key), 'value': encode_text(content)}


def build_delete(key: str, expected_revision: int) -> JsonObject:
    """Returns a transaction that deletes only the expected revision."""
    return {
        'compare': [_build_compare(key, expected_revision)],
        'success': [{'request_delete_range': {_KEY: encode_text(key)}}],
        'failure': [{'request_range': {_KEY: encode_text(key)}}],
    }


def build_watch(key: str, start_revision: int) -> JsonObject:
    """Returns the first message of a watch."""
    return {
        'create_request': {
            _KEY: encode_text(key),
            'start_revision': str(start_revision),
        },
    }


def parse_swap(reply: JsonObject) -> SwapResult:
    """Returns the result of a swap or delete."""
    if reply.get('succeeded'):
        return Swapped(read_revision(reply))
    ranges = reply['responses'][0].get('response_range', {})
    return Conflict(next(parse_values(ranges), None))


def parse_values(reply: JsonObject) -> Iterator[StoredValue]:
    """Yields the values of a range reply."""
    for entry in reply.get('kvs', ()):
        yield _parse_value(entry)


def parse_entries(reply: JsonObject) -> dict[str, StoredValue]:
    """Returns the entries of a range reply; values may be omitted."""
    return {
        base64.b64decode(entry[_KEY]).decode(): _parse_value(entry)
        for entry in reply.get('kvs', ())
    }


def parse_watch(message: JsonObject) -> WatchReply:
    """Returns one message of a watch stream."""
    result = message['result']
    return WatchReply(
        store_revision=read_revision(result),
        changes=tuple(
            _parse_change(event) for event in result.get('events', ())
        ),
        cancelled=bool(result.get('canceled')),
    )


def read_revision(reply: JsonObject) -> int:
    """Returns the store's revision from a reply's header."""
    return int(reply.get('header', {}).get('revision', 0))


def _build_compare(key: str, expected_revision: int | None) -> JsonObject:
    compare: dict[str, str] = {_KEY: encode_text(key), 'result': 'EQUAL'}
    if expected_revision is None:
        return compare | {'target': 'CREATE', 'create_revision': '0'}
    return compare | {
        'target': 'MOD',
        'mod_revision': str(expected_revision),
    }


def _parse_value(entry: JsonObject) -> StoredValue:
    return StoredValue(
        value=base64.b64decode(entry.get('value', '')),
        revision=int(entry['mod_revision']),
    )


def _parse_change(event: JsonObject) -> tuple[int, StoredValue | None]:
    entry = event['kv']
    deleted = event.get('type') == 'DELETE'
    return (
        int(entry['mod_revision']),
        None if deleted else _parse_value(entry),
    )
