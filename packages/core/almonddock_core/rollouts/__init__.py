"""Roll-outs of a service's new version.

An operator orders that a service move to a version whose targets run beside
the old ones. One host decides with :func:`decide`, from the counts of all, and
writes a :class:`RolloutRecord` to the store. Each host acts on the record with
its :class:`RolloutTable`, which picks the version of each request and counts
the answers. :class:`ClaimView` says which host decides.
"""

from almonddock_core.rollouts._claim import RENEWAL, TAKEOVER, ClaimView
from almonddock_core.rollouts._comparison import compute_tail, find_fault
from almonddock_core.rollouts._counts import (
    CountTable,
    Group,
    HostCounts,
    ServiceCounts,
    Tally,
    sum_counts,
)
from almonddock_core.rollouts._decider import (
    ConditionalWrite,
    RolloutDecider,
)
from almonddock_core.rollouts._decision import Fleet, decide
from almonddock_core.rollouts._history import CountHistory
from almonddock_core.rollouts._permits import Permits
from almonddock_core.rollouts._plan import Evidence, measure_room, plan_step
from almonddock_core.rollouts._records import (
    RolloutBounds,
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    RolloutState,
    start_record,
)
from almonddock_core.rollouts._service import Outcome, ServiceRollout
from almonddock_core.rollouts._stored import StoredRollouts
from almonddock_core.rollouts._table import RolloutTable

__all__ = [
    'ClaimView',
    'ConditionalWrite',
    'CountHistory',
    'CountTable',
    'Evidence',
    'Fleet',
    'Group',
    'HostCounts',
    'Outcome',
    'Permits',
    'RENEWAL',
    'RolloutBounds',
    'RolloutDecider',
    'RolloutOrder',
    'RolloutRecord',
    'RolloutStage',
    'RolloutState',
    'RolloutTable',
    'ServiceCounts',
    'ServiceRollout',
    'StoredRollouts',
    'TAKEOVER',
    'Tally',
    'compute_tail',
    'decide',
    'find_fault',
    'measure_room',
    'plan_step',
    'start_record',
    'sum_counts',
]
