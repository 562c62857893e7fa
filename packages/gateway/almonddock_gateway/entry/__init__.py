"""Routes callers' requests, dispatches them and sends the answers."""

from almonddock_gateway.entry._entry import Entry, EntryState

__all__ = [
    'Entry',
    'EntryState',
]
