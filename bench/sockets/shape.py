"""Rates and service times of the measured workloads."""

import math
from collections.abc import Iterable

from almonddock_core.deployment import ServiceFile
from almonddock_standins import ServiceTimes

STRAGGLER_SHARE = 0.01
MILLISECONDS = 1000


def list_services(
    services: Iterable[ServiceFile],
    workload: str,
) -> list[ServiceFile]:
    """Returns the services of one workload."""
    return [one for one in services if one.workload == workload]


def compute_rate(
    services: Iterable[ServiceFile],
    load: float,
    median_ms: float,
) -> float:
    """Returns the queries per second that keep a share of slots busy.

    The mean service time includes stragglers, so that runs with and without
    them get the same arrivals.
    """
    listed = list(services)
    slots = sum(entry.slots for one in listed for entry in one.targets)
    times = ServiceTimes()
    mean_ms = median_ms * math.exp(times.sigma**2 / 2)
    mean_ms *= 1 + STRAGGLER_SHARE * (times.straggler_factor - 1)
    return load * slots / len(listed) * MILLISECONDS / mean_ms
