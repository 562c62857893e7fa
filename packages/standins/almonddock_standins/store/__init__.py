"""A stand-in for the platform's store, with the etcd v3 JSON gateway.

:class:`KeyValues` holds the data and does no I/O, so that tests may use it
under a virtual clock; :class:`StandInStore` serves it over HTTP and injects
faults.
"""

from almonddock_standins.store._gateway import StandInStore, StoreFaults
from almonddock_standins.store._key_values import (
    Entry,
    Event,
    KeyValues,
    StoreError,
)

__all__ = [
    'Entry',
    'Event',
    'KeyValues',
    'StandInStore',
    'StoreError',
    'StoreFaults',
]
