"""JSON messages of the etcd v3 gateway; 64-bit numbers are strings."""

import operator
from base64 import b64decode, b64encode
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from almonddock_standins.store._key_values import (
    Entry,
    Event,
    KeyValues,
    StoreError,
    Write,
)

Body = Mapping[str, Any]
Comparison = Callable[[Any, Any], bool]

COMPARISONS: Mapping[str, Comparison] = MappingProxyType(
    {
        'EQUAL': operator.eq,
        'NOT_EQUAL': operator.ne,
        'GREATER': operator.gt,
        'LESS': operator.lt,
    }
)


def read_bytes(body: Body, name: str) -> bytes:
    """Returns a base64 field, empty when it is absent."""
    return b64decode(body.get(name, ''), validate=True)


def read_number(body: Body, name: str) -> int:
    """Returns a number given as a number or as a string."""
    return int(body.get(name, 0))


def build_entry(entry: Entry) -> dict[str, object]:
    """Returns one entry as JSON content."""
    content: dict[str, object] = {
        'key': b64encode(entry.key).decode(),
        'value': b64encode(entry.stored).decode(),
        'create_revision': str(entry.create_revision),
        'mod_revision': str(entry.mod_revision),
        'version': str(entry.version),
    }
    if entry.lease:
        content['lease'] = str(entry.lease)
    return content


def build_event(event: Event) -> dict[str, object]:
    """Returns one change as JSON content for a watch."""
    if event.entry is not None:
        return {'type': 'PUT', 'kv': build_entry(event.entry)}
    deleted = {
        'key': b64encode(event.key).decode(),
        'mod_revision': str(event.revision),
    }
    return {'type': 'DELETE', 'kv': deleted}


def build_header(values: KeyValues) -> dict[str, object]:
    """Returns the header of every response."""
    return {'revision': str(values.revision)}


def read_range(values: KeyValues, body: Body) -> dict[str, object]:
    """Answers one range request."""
    found = values.read(
        read_bytes(body, 'key'),
        read_bytes(body, 'range_end'),
    )
    limit = read_number(body, 'limit') or len(found)
    content: dict[str, object] = {
        'header': build_header(values),
        'count': str(len(found)),
    }
    if found:
        content['kvs'] = [build_entry(entry) for entry in found[:limit]]
    return content


def read_put(body: Body) -> Write:
    """Returns the write that a put asks for."""
    return (
        read_bytes(body, 'key'),
        read_bytes(body, 'value'),
        read_number(body, 'lease'),
    )


def list_deletions(values: KeyValues, body: Body) -> list[Write]:
    """Returns the writes that a range deletion asks for."""
    found = values.read(
        read_bytes(body, 'key'),
        read_bytes(body, 'range_end'),
    )
    return [(entry.key, None, 0) for entry in found]


def run_transaction(values: KeyValues, body: Body) -> dict[str, object]:
    """Evaluates the comparisons and applies the matching branch."""
    succeeded = all(_compare(values, one) for one in body.get('compare', ()))
    branch = body.get('success' if succeeded else 'failure', ())
    writes: list[Write] = []
    requests: list[tuple[str, Body]] = []
    for operation in branch:
        for kind, request in operation.items():
            requests.append((_normalise(kind), request))
    for kind, request in requests:
        if kind == 'put':
            writes.append(read_put(request))
        elif kind == 'delete_range':
            writes.extend(list_deletions(values, request))
    values.write(writes)
    return {
        'header': build_header(values),
        'succeeded': succeeded,
        'responses': [_respond(values, *one) for one in requests],
    }


def _normalise(kind: str) -> str:
    names = {
        'requestPut': 'put',
        'request_put': 'put',
        'requestDeleteRange': 'delete_range',
        'request_delete_range': 'delete_range',
        'requestRange': 'range',
        'request_range': 'range',
    }
    if kind not in names:
        raise StoreError(f'unknown operation {kind}')
    return names[kind]


def _respond(values: KeyValues, kind: str, request: Body) -> dict[str, object]:
    if kind == 'range':
        return {'response_range': read_range(values, request)}
    return {f'response_{kind}': {'header': build_header(values)}}


def _compare(values: KeyValues, body: Body) -> bool:
    found = values.read(read_bytes(body, 'key'))
    entry = found[0] if found else Entry(b'', b'', 0, 0, 0)
    compare = COMPARISONS[body.get('result', 'EQUAL')]
    target = body.get('target', 'VERSION')
    if target == 'VALUE':
        return compare(entry.stored, read_bytes(body, 'value'))
    comparable = {
        'MOD': ('mod_revision', entry.mod_revision),
        'CREATE': ('create_revision', entry.create_revision),
        'VERSION': ('version', entry.version),
        'LEASE': ('lease', entry.lease),
    }
    name, number = comparable[target]
    return compare(number, read_number(body, name))
