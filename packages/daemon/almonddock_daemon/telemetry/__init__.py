"""Logs, metrics and traces.

``LOG`` writes structured events; :func:`start_logs` says where to.
:class:`Metrics` holds every metric.
"""

from almonddock_daemon.telemetry._logs import LOG, start_logs
from almonddock_daemon.telemetry._metrics import Metrics

__all__ = ['LOG', 'Metrics', 'start_logs']
