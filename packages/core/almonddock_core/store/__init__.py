"""Calls to the platform's key-value store, as data classes.

Code that uses the store is written as generators: they yield
:data:`StoreCall` values and are sent :data:`StoreReply` values, so that the
same code runs on the real store, on a fake and on a virtual clock. See
:func:`almonddock_core.configuration.publish` for an example.
"""

from almonddock_core.store._calls import (
    Conflict,
    DeleteValue,
    Guard,
    ListRevisions,
    PutValues,
    ReadValues,
    Revisions,
    StoreCall,
    StoredValue,
    StoreReply,
    Swapped,
    SwapResult,
    SwapValue,
    Unavailable,
    Unknown,
    Values,
)

__all__ = [
    'Conflict',
    'DeleteValue',
    'Guard',
    'ListRevisions',
    'PutValues',
    'ReadValues',
    'Revisions',
    'StoreCall',
    'StoreReply',
    'StoredValue',
    'SwapResult',
    'SwapValue',
    'Swapped',
    'Unavailable',
    'Unknown',
    'Values',
]
