"""Connection pools, one for each target."""

from almonddock_gateway.targets._attempts import TargetAttempt
from almonddock_gateway.targets._availability import build_observer
from almonddock_gateway.targets._messages import (
    format_attempt,
    match_reply,
    read_reply,
)
from almonddock_gateway.targets._pool import PoolSettings, TargetPool
from almonddock_gateway.targets._pools import TargetPools

__all__ = [
    'PoolSettings',
    'TargetAttempt',
    'TargetPool',
    'TargetPools',
    'build_observer',
    'format_attempt',
    'match_reply',
    'read_reply',
]
