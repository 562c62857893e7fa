"""The filter chain that every query passes at its entry host.

The entry host of a query is the one to which the caller sent it.
:func:`build_chain` binds filters in order; each gets an :class:`Exchange`
and the next handler, and returns an answer.
"""

from almonddock_daemon.filters._admission import (
    AdmissionPorts,
    RunningQueries,
    build_admission_filter,
)
from almonddock_daemon.filters._at_most_once import build_at_most_once_filter
from almonddock_daemon.filters._chain import (
    Exchange,
    Filter,
    Handler,
    build_chain,
)
from almonddock_daemon.filters._coverage import build_coverage_handler
from almonddock_daemon.filters._deadline import build_deadline_filter
from almonddock_daemon.filters._scatter import build_scatter_filter
from almonddock_daemon.filters._snapshot import build_snapshot_filter
from almonddock_daemon.filters._trace import build_trace_filter

__all__ = [
    'AdmissionPorts',
    'Exchange',
    'Filter',
    'Handler',
    'RunningQueries',
    'build_admission_filter',
    'build_at_most_once_filter',
    'build_chain',
    'build_coverage_handler',
    'build_deadline_filter',
    'build_scatter_filter',
    'build_snapshot_filter',
    'build_trace_filter',
]
