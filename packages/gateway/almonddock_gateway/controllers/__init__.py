"""Controllers of the configuration, targets, hosts and isolation state."""

from almonddock_gateway.controllers._configuration import (
    ConfigurationController,
    DecodeTable,
)
from almonddock_gateway.controllers._follower import Follower, FollowSettings
from almonddock_gateway.controllers._hosts import HostController, Peer
from almonddock_gateway.controllers._isolation import IsolationController
from almonddock_gateway.controllers._targets import (
    DecodeTarget,
    TargetController,
)

__all__ = [
    'ConfigurationController',
    'DecodeTable',
    'DecodeTarget',
    'FollowSettings',
    'Follower',
    'HostController',
    'Peer',
    'IsolationController',
    'TargetController',
]
