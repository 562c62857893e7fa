"""Clients of the platform's services."""

from almonddock_daemon.adapters._store_client import StoreClient
from almonddock_daemon.adapters._store_values import (
    Conflict,
    StoredValue,
    StoreSettings,
    Swapped,
    SwapResult,
    Unknown,
    WatchEvent,
)

__all__ = [
    'Conflict',
    'StoreClient',
    'StoreSettings',
    'StoredValue',
    'SwapResult',
    'Swapped',
    'Unknown',
    'WatchEvent',
]
