"""Controllers, each of which owns one piece of the host's state.

A controller publishes immutable views; filters only read views.
"""

from almonddock_daemon.controllers._admission import AdmissionController
from almonddock_daemon.controllers._configuration import (
    ConfigurationController,
)
from almonddock_daemon.controllers._idempotency import (
    IdempotencyController,
    PeerPorts,
)
from almonddock_daemon.controllers._membership import MembershipController
from almonddock_daemon.controllers._ownership import (
    OwnershipController,
    OwnershipPorts,
)
from almonddock_daemon.controllers._peers import PeerSender
from almonddock_daemon.controllers._scatters import ScatterController
from almonddock_daemon.controllers._snapshots import SnapshotController
from almonddock_daemon.controllers._targets import TargetController

__all__ = [
    'AdmissionController',
    'ConfigurationController',
    'IdempotencyController',
    'MembershipController',
    'OwnershipController',
    'OwnershipPorts',
    'PeerPorts',
    'PeerSender',
    'ScatterController',
    'SnapshotController',
    'TargetController',
]
