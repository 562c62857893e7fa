"""Routes callers' requests, dispatches them and sends the answers."""

from almonddock_gateway.entry._access import CallerAccess
from almonddock_gateway.entry._entry import Admission, Entry, EntryState
from almonddock_gateway.entry._exchange import ExchangeSettings
from almonddock_gateway.entry._quota_gate import QuotaGate

__all__ = [
    'Admission',
    'CallerAccess',
    'Entry',
    'EntryState',
    'ExchangeSettings',
    'QuotaGate',
]
