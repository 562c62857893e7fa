"""Limits what organisations may send, over all hosts together.

:class:`Quotas` decides on one host. A few hosts, the grantors, hold each quota
in whole parts and grant credits to the others, which let a few requests in
before they are granted.
"""

from almonddock_core.quotas._actions import (
    AskGrantor,
    CreditSource,
    LetIn,
    QuotaAction,
    TurnAway,
)
from almonddock_core.quotas._bucket import Allowance, Bucket, limit_count
from almonddock_core.quotas._division import (
    GRANTORS,
    Division,
    HostSet,
    count_allowed,
    divide_quota,
)
from almonddock_core.quotas._hosts import (
    LAPSE,
    MEMORY,
    HostPlace,
    KnownHosts,
    StartState,
)
from almonddock_core.quotas._messages import CreditQuery, CreditReply
from almonddock_core.quotas._quotas import Quotas
from almonddock_core.quotas._settings import CREDIT_MAX_AGE, QuotaSettings

__all__ = [
    'CREDIT_MAX_AGE',
    'GRANTORS',
    'LAPSE',
    'MEMORY',
    'Allowance',
    'AskGrantor',
    'Bucket',
    'CreditQuery',
    'CreditReply',
    'CreditSource',
    'Division',
    'HostPlace',
    'HostSet',
    'KnownHosts',
    'LetIn',
    'QuotaAction',
    'QuotaSettings',
    'Quotas',
    'StartState',
    'TurnAway',
    'count_allowed',
    'divide_quota',
    'limit_count',
]
