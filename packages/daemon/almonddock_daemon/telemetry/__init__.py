"""Logs, metrics and traces.

``LOG`` writes structured events; :func:`start_logs` sets their output.
:class:`Metrics` holds every metric; :class:`Tracing` starts spans.
"""

from almonddock_daemon.telemetry._logs import LOG, start_logs
from almonddock_daemon.telemetry._metrics import Metrics
from almonddock_daemon.telemetry._traces import TraceSpan, Tracing

__all__ = ['LOG', 'Metrics', 'TraceSpan', 'Tracing', 'start_logs']
