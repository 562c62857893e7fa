"""The settings of one host.

:func:`load_settings` returns checked :class:`HostSettings` or raises one
error that lists the faults with their file and JSON pointer.
"""

from almonddock_daemon.settings._loading import load_settings, parse_settings
from almonddock_daemon.settings._settings import (
    HostListSettings,
    HostSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    StoreSettings,
    TraceSettings,
)

__all__ = [
    'HostListSettings',
    'HostSettings',
    'LimitSettings',
    'ListenSettings',
    'LogSettings',
    'StoreSettings',
    'TraceSettings',
    'load_settings',
    'parse_settings',
]
