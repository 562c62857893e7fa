"""Controllers of the state that a host keeps up to date."""

from almonddock_gateway.controllers._configuration import (
    ConfigurationController,
    DecodeTable,
)
from almonddock_gateway.controllers._decoders import Decoders
from almonddock_gateway.controllers._follower import Follower, FollowSettings
from almonddock_gateway.controllers._hosts import HostController
from almonddock_gateway.controllers._isolation import IsolationController
from almonddock_gateway.controllers._quotas import (
    QuotaController,
    QuotaDependencies,
    build_quota_controller,
)
from almonddock_gateway.controllers._registrations import Peer
from almonddock_gateway.controllers._rollouts import (
    DecodeOrder,
    EncodeState,
    RolloutController,
    RolloutDependencies,
)
from almonddock_gateway.controllers._targets import (
    DecodeTarget,
    TargetController,
)
from almonddock_gateway.controllers._warmth import (
    WarmthController,
    WarmthDependencies,
)

__all__ = [
    'ConfigurationController',
    'DecodeOrder',
    'DecodeTable',
    'DecodeTarget',
    'Decoders',
    'EncodeState',
    'FollowSettings',
    'Follower',
    'HostController',
    'IsolationController',
    'Peer',
    'QuotaController',
    'QuotaDependencies',
    'RolloutController',
    'RolloutDependencies',
    'TargetController',
    'WarmthController',
    'WarmthDependencies',
    'build_quota_controller',
]
