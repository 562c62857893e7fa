"""Logs, metrics and traces.

``LOG`` writes structured events; :func:`start_logs` says where to.
:class:`Metrics` holds every metric; :class:`Tracing` starts spans.
"""

from almonddock_daemon.telemetry._logs import LOG, start_logs
from almonddock_daemon.telemetry._metrics import Metrics
from almonddock_daemon.telemetry._traces import Hop, Tracing

__all__ = ['LOG', 'Hop', 'Metrics', 'Tracing', 'start_logs']
