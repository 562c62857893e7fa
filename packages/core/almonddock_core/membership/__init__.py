"""Membership of the fleet: failure detection by probes, spread by gossip.

:class:`Membership` is the state machine; :class:`Probe`,
:class:`ProbeReply` and :class:`ProbeRequest` are its messages. Each message
also carries the sender's configuration head, so that hosts detect a newer
configuration.
"""

from almonddock_core.membership._membership import Membership
from almonddock_core.membership._messages import (
    MembershipMessage,
    Probe,
    ProbeReply,
    ProbeRequest,
)
from almonddock_core.membership._prober import DescribeHead
from almonddock_core.membership._settings import (
    MembershipAction,
    MembershipSettings,
    Paused,
    Send,
    ViewChanged,
)
from almonddock_core.membership._shutdown import (
    ShutdownPhase,
    ShutdownPlan,
    ShutdownSettings,
)

__all__ = [
    'DescribeHead',
    'Membership',
    'MembershipAction',
    'MembershipMessage',
    'MembershipSettings',
    'Paused',
    'Probe',
    'ProbeReply',
    'ProbeRequest',
    'Send',
    'ShutdownPhase',
    'ShutdownPlan',
    'ShutdownSettings',
    'ViewChanged',
]
