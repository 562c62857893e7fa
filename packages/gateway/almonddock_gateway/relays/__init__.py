"""Queries over shards that travel by a host in the targets' data centre.

That host sends the sub-queries, merges the replies, and answers in one or a
few messages; all decisions stay with the host that the caller asked.

:class:`SharedStore` reads the store through another host while this one is
turned away.
"""

from almonddock_gateway.relays._board import LinkBook, RelayBoard
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
from almonddock_gateway.relays._news import StoreNews
from almonddock_gateway.relays._relay import Relay
from almonddock_gateway.relays._server import RelayServer, RelaySettings
from almonddock_gateway.relays._shared_store import SharedStore, StoreServer

__all__ = [
    'Leaving',
    'LinkBook',
    'LinkMessage',
    'MessageLink',
    'PartFailure',
    'Ping',
    'Pong',
    'Relay',
    'RelayBoard',
    'RelayCancel',
    'RelayQuery',
    'RelayReply',
    'RelayServer',
    'RelaySettings',
    'SharedStore',
    'StoreNews',
    'StoreOutcome',
    'StoreQuery',
    'StoreReply',
    'StoreServer',
]
