"""Takes the requests of callers through to their answers."""

from almonddock_gateway.entry._entry import Entry, EntryState

__all__ = [
    'Entry',
    'EntryState',
]
