"""Controllers, each of which owns one piece of state."""

from almonddock_gateway.controllers._configuration import (
    ConfigurationController,
)
from almonddock_gateway.controllers._follower import Follower, FollowSettings
from almonddock_gateway.controllers._hosts import HostController, Peer
from almonddock_gateway.controllers._reach import ReachController
from almonddock_gateway.controllers._targets import TargetController

__all__ = [
    'ConfigurationController',
    'FollowSettings',
    'Follower',
    'HostController',
    'Peer',
    'ReachController',
    'TargetController',
]
