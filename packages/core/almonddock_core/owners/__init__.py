"""The owner side: one host connects to each target and limits its load.

:func:`place_targets` computes which host owns which target. The owner runs
one :class:`OwnedTarget` for each, which queues, paces and answers
sub-queries from entry hosts, the hosts that callers reached.
:class:`LeaseManager` prevents two hosts that disagree about the owner from
sending to the same target, with leases granted by a majority vote of hosts.
"""

from almonddock_core.owners._actions import (
    CancelAtTarget,
    Dispatch,
    OwnerAction,
    Reply,
)
from almonddock_core.owners._connections import (
    ConnectionLimiter,
    ConnectionSettings,
)
from almonddock_core.owners._health import TargetHealth
from almonddock_core.owners._lease_manager import LeaseManager
from almonddock_core.owners._leases import (
    Acquire,
    Handover,
    Holder,
    LeaseAction,
    LeaseMessage,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    LeaseSettings,
    SendToHost,
    Yield,
)
from almonddock_core.owners._placement import (
    Placement,
    compute_score,
    place_targets,
)
from almonddock_core.owners._settings import OwnerSettings
from almonddock_core.owners._target import OwnedTarget

__all__ = [
    'Acquire',
    'CancelAtTarget',
    'ConnectionLimiter',
    'ConnectionSettings',
    'Dispatch',
    'Handover',
    'Holder',
    'LeaseAction',
    'LeaseManager',
    'LeaseMessage',
    'LeaseRelease',
    'LeaseReply',
    'LeaseRequest',
    'LeaseSettings',
    'OwnedTarget',
    'OwnerAction',
    'OwnerSettings',
    'Placement',
    'Reply',
    'SendToHost',
    'TargetHealth',
    'Yield',
    'compute_score',
    'place_targets',
]
