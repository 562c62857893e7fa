"""Settings of admission."""

import math
from dataclasses import dataclass
from datetime import timedelta

#: Sub-queries in progress for each slot, so that no slot becomes idle. A
#: target runs one sub-query at a time in each of its slots.
UNITS_PER_SLOT = 3
#: The duration assumed for queries until the first one ends.
DEFAULT_DURATION_MS = 20


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of the work that a host does for one workload at a time."""

    #: The most sub-queries in progress, not counting hedges and retries.
    max_units: int = 100
    #: The most queries that wait for admission.
    max_waiting: int = 200
    #: The weight of a new sample in the smoothed duration of queries.
    weight: float = 0.1
    #: The duration assumed until the first query ends.
    default_duration: timedelta = timedelta(milliseconds=DEFAULT_DURATION_MS)


def compute_unit_limit(slots: int, hosts: int, shards: int) -> int:
    """Returns how many sub-queries each of several hosts may have running.

    ``slots`` is the number of sub-queries that all targets of the workload
    can run at a time now. A host may always run one query of ``shards``
    sub-queries.
    """
    return max(math.ceil(slots * UNITS_PER_SLOT / max(hosts, 1)), shards)
