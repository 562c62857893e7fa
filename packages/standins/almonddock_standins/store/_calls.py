"""Handlers for the paths of the stand-in store."""

from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType

from almonddock_standins.store import _messages as messages
from almonddock_standins.store._key_values import KeyValues, StoreError

Content = dict[str, object]


def answer_call(
    key_values: KeyValues,
    path: str,
    body: messages.Body,
    now: timedelta,
) -> Content:
    """Returns the response to one call other than a watch.

    Raises :class:`StoreError` when the store refuses the call.
    """
    if path not in ROUTES:
        raise StoreError(f'unknown path {path}')
    return ROUTES[path](key_values, body, now)


def _read(values: KeyValues, body: messages.Body, now: timedelta) -> Content:
    return messages.read_range(values, body)


def _run_transaction(
    values: KeyValues, body: messages.Body, now: timedelta
) -> Content:
    return messages.run_transaction(values, body)


def _put(values: KeyValues, body: messages.Body, now: timedelta) -> Content:
    values.write([messages.read_put(body)])
    return {'header': messages.build_header(values)}


def _delete(values: KeyValues, body: messages.Body, now: timedelta) -> Content:
    writes = messages.list_deletions(values, body)
    values.write(writes)
    header = messages.build_header(values)
    return {'header': header, 'deleted': str(len(writes))}


def _grant(values: KeyValues, body: messages.Body, now: timedelta) -> Content:
    ttl = messages.read_number(body, 'TTL')
    lease = values.grant(timedelta(seconds=ttl), now)
    return {'ID': str(lease), 'TTL': str(ttl)}


def _keep_alive(
    values: KeyValues, body: messages.Body, now: timedelta
) -> Content:
    lease = messages.read_number(body, 'ID')
    ttl = int(values.keep_alive(lease, now).total_seconds())
    return {'result': {'ID': str(lease), 'TTL': str(ttl)}}


def _revoke(values: KeyValues, body: messages.Body, now: timedelta) -> Content:
    values.revoke(messages.read_number(body, 'ID'))
    return {'header': messages.build_header(values)}


_Route = Callable[[KeyValues, messages.Body, timedelta], Content]

ROUTES: Mapping[str, _Route] = MappingProxyType(
    {
        '/v3/kv/range': _read,
        '/v3/kv/txn': _run_transaction,
        '/v3/kv/put': _put,
        '/v3/kv/deleterange': _delete,
        '/v3/lease/grant': _grant,
        '/v3/lease/keepalive': _keep_alive,
        '/v3/lease/revoke': _revoke,
    },
)
