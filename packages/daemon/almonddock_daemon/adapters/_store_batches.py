"""Transactions of the store that read several keys at once."""

from collections.abc import Iterable

from almonddock_core.store import StoredValue
from almonddock_daemon.adapters import _store_codec as codec

# etcd accepts at most 128 operations in a transaction by default.
READS_PER_CALL = 64


def build_reads(keys: Iterable[str]) -> codec.JsonObject:
    """Returns a transaction that reads several keys and writes none."""
    return {
        'success': [
            {'request_range': {'key': codec.encode_text(key)}} for key in keys
        ],
    }


def parse_reads(reply: codec.JsonObject) -> dict[str, StoredValue]:
    """Returns what a transaction of reads found."""
    found: dict[str, StoredValue] = {}
    for response in reply.get('responses', ()):
        found.update(codec.parse_entries(response.get('response_range', {})))
    return found
