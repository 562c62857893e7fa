"""Clients of the platform's services."""

from almonddock_core.store import (
    Conflict,
    Guard,
    StoredValue,
    Swapped,
    SwapResult,
    Unknown,
)
from almonddock_daemon.adapters._store_client import StoreClient
from almonddock_daemon.adapters._store_steps import perform_call, run_steps
from almonddock_daemon.adapters._store_values import StoreSettings, WatchEvent

__all__ = [
    'Conflict',
    'Guard',
    'StoreClient',
    'StoreSettings',
    'StoredValue',
    'SwapResult',
    'Swapped',
    'Unknown',
    'WatchEvent',
    'perform_call',
    'run_steps',
]
