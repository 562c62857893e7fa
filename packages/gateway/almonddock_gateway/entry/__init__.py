"""Routes callers' requests, dispatches them and sends the answers."""

from almonddock_gateway.entry._access import CallerAccess
from almonddock_gateway.entry._entry import Entry, EntryState
from almonddock_gateway.entry._exchange import ExchangeSettings

__all__ = [
    'CallerAccess',
    'Entry',
    'EntryState',
    'ExchangeSettings',
]
