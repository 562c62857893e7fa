"""Logs and metrics of the gateway."""

from almonddock_gateway.telemetry._errors import (
    LibraryMessages,
    NonBlockingText,
)
from almonddock_gateway.telemetry._lines import LineBudget, LineWriter
from almonddock_gateway.telemetry._memory import MemoryReport
from almonddock_gateway.telemetry._metrics import GatewayMetrics
from almonddock_gateway.telemetry._telemetry import Telemetry

__all__ = [
    'GatewayMetrics',
    'LibraryMessages',
    'LineBudget',
    'LineWriter',
    'MemoryReport',
    'NonBlockingText',
    'Telemetry',
]
