"""A stand-in for a target: one replica that holds shards.

Start one with :class:`StandInTarget` inside a running loop, then set its
:class:`Faults` with :meth:`StandInTarget.switch_faults` or ``POST /fault``.
"""

from almonddock_standins.target._faults import Faults
from almonddock_standins.target._rows import build_rows
from almonddock_standins.target._settings import (
    ServiceTimes,
    TargetSettings,
    build_settings,
)
from almonddock_standins.target._target import StandInTarget

__all__ = [
    'Faults',
    'ServiceTimes',
    'StandInTarget',
    'TargetSettings',
    'build_rows',
    'build_settings',
]
