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
from almonddock_daemon.adapters._target_client import TargetClient
from almonddock_daemon.adapters._target_messages import build_reply

__all__ = [
    'Conflict',
    'StoreClient',
    'StoreSettings',
    'StoredValue',
    'SwapResult',
    'Swapped',
    'TargetClient',
    'Unknown',
    'WatchEvent',
    'build_reply',
]
