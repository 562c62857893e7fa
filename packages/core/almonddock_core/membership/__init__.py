"""Which hosts are there, learned by probes and spread as news.

:class:`Membership` is the state machine; :class:`Probe`,
:class:`ProbeReply` and :class:`ProbeRequest` are what it sends. The messages
carry the head of the configuration too, so that hosts learn of a newer one.
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
