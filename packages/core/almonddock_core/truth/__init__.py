"""Plans a query on one snapshot, merges its rows and reports its coverage.

:func:`pin_snapshot` chooses the index version and the partition map of a
query from the configuration and a :class:`VersionTable`;
:func:`merge_rows` merges the rows of the shards, and :func:`build_answer`
reports which shards the answer covers.
"""

from almonddock_core.truth._answer import build_answer
from almonddock_core.truth._failures import (
    AttemptEvent,
    AttemptResult,
    classify_attempt,
)
from almonddock_core.truth._merge import check_rows, merge_partial, merge_rows
from almonddock_core.truth._replan import combine_results, replan_query
from almonddock_core.truth._rows import BadRowsError
from almonddock_core.truth._snapshot import SnapshotCache, pin_snapshot
from almonddock_core.truth._versions import VersionTable

__all__ = [
    'AttemptEvent',
    'AttemptResult',
    'BadRowsError',
    'SnapshotCache',
    'VersionTable',
    'build_answer',
    'check_rows',
    'classify_attempt',
    'combine_results',
    'merge_partial',
    'merge_rows',
    'pin_snapshot',
    'replan_query',
]
