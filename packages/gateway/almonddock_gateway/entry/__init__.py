"""Routes callers' requests, dispatches them and sends the answers."""

from almonddock_gateway.entry._entry import Entry, EntryState
from almonddock_gateway.entry._exchange import ExchangeSettings
from almonddock_gateway.entry._quota_gate import QuotaGate

__all__ = [
    'Entry',
    'EntryState',
    'ExchangeSettings',
    'QuotaGate',
]
