"""The types that several packages share: queries, identifiers, errors.

A :class:`Query` enters at an entry host, which makes one :class:`SubQuery`
for each shard, collects a :class:`SubReply` for each and returns one
:class:`Answer` that states its :class:`Coverage`.
"""

from almonddock_core.model._answer import (
    Answer,
    Coverage,
    MissingShard,
    Outcome,
)
from almonddock_core.model._clock import Clock, ManualClock
from almonddock_core.model._errors import (
    AlmonddockError,
    InvalidRequestError,
    OutcomeUnknownError,
    StoreUnavailableError,
    UnknownWorkloadError,
)
from almonddock_core.model._findings import (
    Finding,
    FindingsError,
    build_pointer,
)
from almonddock_core.model._identifiers import (
    AttemptId,
    DataCentreId,
    HostId,
    Incarnation,
    IndexVersion,
    RequestId,
    Revision,
    ServiceId,
    ShardId,
    TargetId,
    WorkloadId,
)
from almonddock_core.model._membership import (
    Member,
    MembershipView,
    MemberState,
)
from almonddock_core.model._plan import (
    Candidate,
    Plan,
    ScatterResult,
    TargetLoad,
)
from almonddock_core.model._query import (
    LoadReport,
    Query,
    Reason,
    ReplyStatus,
    SubQuery,
    SubReply,
    Urgency,
)
from almonddock_core.model._store_revision import (
    MAX_ERA,
    get_era,
    join_revision,
    split_revision,
)

__all__ = [
    'MAX_ERA',
    'AlmonddockError',
    'Answer',
    'AttemptId',
    'Candidate',
    'Clock',
    'Coverage',
    'DataCentreId',
    'Finding',
    'FindingsError',
    'HostId',
    'Incarnation',
    'IndexVersion',
    'InvalidRequestError',
    'LoadReport',
    'ManualClock',
    'Member',
    'MemberState',
    'MembershipView',
    'MissingShard',
    'Outcome',
    'OutcomeUnknownError',
    'Plan',
    'Query',
    'Reason',
    'ReplyStatus',
    'RequestId',
    'Revision',
    'ScatterResult',
    'ServiceId',
    'ShardId',
    'StoreUnavailableError',
    'SubQuery',
    'SubReply',
    'TargetId',
    'TargetLoad',
    'UnknownWorkloadError',
    'Urgency',
    'WorkloadId',
    'build_pointer',
    'get_era',
    'join_revision',
    'split_revision',
]
