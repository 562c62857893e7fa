"""Queries over shards that travel by a host in the targets' data centre.

That host sends the sub-queries, merges the replies, and answers in one or a
few messages; all decisions stay with the host that the caller asked.

:class:`SharedStore` reads the store through another host while this one is
turned away.
"""

from almonddock_gateway.relays._fallback_store import FallbackStore, StoreServer
from almonddock_gateway.relays._messages import (
    Leaving,
    LinkMessage,
    MessageLink,
    PartFailure,
    Ping,
    Pong,
    RelayCancel,
    RelayQuery,
    RelayReply,
    StoreOutcome,
    StoreQuery,
    StoreReply,
)
from almonddock_gateway.relays._relay import Relay
from almonddock_gateway.relays._router import LinkDirectory, RelayRouter
from almonddock_gateway.relays._server import RelayServer, RelaySettings
from almonddock_gateway.relays._store_cache import StoreCache

__all__ = [
    'Leaving',
    'LinkDirectory',
    'LinkMessage',
    'MessageLink',
    'PartFailure',
    'Ping',
    'Pong',
    'Relay',
    'RelayRouter',
    'RelayCancel',
    'RelayQuery',
    'RelayReply',
    'RelayServer',
    'RelaySettings',
    'FallbackStore',
    'StoreCache',
    'StoreOutcome',
    'StoreQuery',
    'StoreReply',
    'StoreServer',
]
