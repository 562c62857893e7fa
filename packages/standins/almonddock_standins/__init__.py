"""Stand-ins for the systems around the tier, for development only.

Each runs inside one asyncio loop and listens on a loopback address:
:class:`StandInTarget`, :class:`StandInStore`, :class:`StandInHostList`.
From a shell: ``python -m almonddock_standins --help``.
"""

from almonddock_standins._host_list import (
    HostEntry,
    HostListFaults,
    StandInHostList,
)
from almonddock_standins.store import StandInStore, StoreFaults
from almonddock_standins.target import (
    Faults,
    ServiceTimes,
    StandInTarget,
    TargetSettings,
    build_rows,
    build_settings,
)

__all__ = [
    'Faults',
    'HostEntry',
    'HostListFaults',
    'ServiceTimes',
    'StandInHostList',
    'StandInStore',
    'StandInTarget',
    'StoreFaults',
    'TargetSettings',
    'build_rows',
    'build_settings',
]
