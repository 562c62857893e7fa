"""Relays sub-queries through a host in the targets' data centre.

The relaying host sends the sub-queries, merges the replies, and answers in
one or a few messages. The host that got the caller's request decides on
hedges, retries and the answer.

:class:`FallbackStore` reads the store through another host if this host
does not follow the store itself, or the store does not answer it.
"""

from almonddock_gateway.relays._counts import CountExchange
from almonddock_gateway.relays._fallback_store import FallbackStore, StoreServer
from almonddock_gateway.relays._loans import (
    Borrower,
    LoanExchange,
    ReceiveGrants,
    build_loan_exchange,
)
from almonddock_gateway.relays._messages import (
    GrantQuery,
    GrantReply,
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
    UnknownMessage,
)
from almonddock_gateway.relays._relay import Relay
from almonddock_gateway.relays._router import (
    CostExchange,
    LinkDirectory,
    RelayRouter,
)
from almonddock_gateway.relays._server import RelayServer, RelaySettings
from almonddock_gateway.relays._store_cache import StoreCache

__all__ = [
    'Borrower',
    'CostExchange',
    'CountExchange',
    'FallbackStore',
    'GrantQuery',
    'GrantReply',
    'Leaving',
    'LinkDirectory',
    'LinkMessage',
    'LoanExchange',
    'MessageLink',
    'PartFailure',
    'Ping',
    'Pong',
    'ReceiveGrants',
    'Relay',
    'RelayCancel',
    'RelayQuery',
    'RelayReply',
    'RelayRouter',
    'RelayServer',
    'RelaySettings',
    'StoreCache',
    'StoreOutcome',
    'StoreQuery',
    'StoreReply',
    'StoreServer',
    'UnknownMessage',
    'build_loan_exchange',
]
