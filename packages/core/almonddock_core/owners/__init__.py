"""The owner side: one host dials each target and keeps it within its limits.

:func:`place_targets` says which host owns which target. The owner runs one
:class:`OwnedTarget` for each, which queues, paces and answers sub-queries.
"""

from almonddock_core.owners._actions import (
    CancelAtTarget,
    Dispatch,
    OwnerAction,
    Reply,
)
from almonddock_core.owners._placement import (
    Placement,
    compute_score,
    place_targets,
)
from almonddock_core.owners._settings import OwnerSettings
from almonddock_core.owners._target import OwnedTarget

__all__ = [
    'CancelAtTarget',
    'Dispatch',
    'OwnedTarget',
    'OwnerAction',
    'OwnerSettings',
    'Placement',
    'Reply',
    'compute_score',
    'place_targets',
]
