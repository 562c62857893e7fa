"""Clients of the key-value store and of the targets."""

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
from almonddock_daemon.adapters._target_client import TargetClient
from almonddock_daemon.adapters._target_messages import build_reply

__all__ = [
    'Conflict',
    'Guard',
    'StoreClient',
    'StoreSettings',
    'StoredValue',
    'SwapResult',
    'Swapped',
    'TargetClient',
    'Unknown',
    'WatchEvent',
    'build_reply',
    'perform_call',
    'run_steps',
]
