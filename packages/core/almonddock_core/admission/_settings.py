"""Settings of admission."""

import math
from dataclasses import dataclass
from datetime import timedelta

#: Sub-queries in progress for each slot, so that no slot runs dry.
DEPTH = 3
#: What stands for the duration of a query while none has ended.
DURATION_MS = 20


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """How much of one workload a host works on at a time."""

    #: Sub-queries in progress, counted by first tries.
    max_units: int = 100
    #: Queries that wait for admission.
    max_waiting: int = 200
    #: The weight of a new sample in the smoothed duration of queries.
    weight: float = 0.1
    #: Stands for that duration while no query has ended.
    default_duration: timedelta = timedelta(milliseconds=DURATION_MS)


def compute_unit_limit(slots: int, hosts: int, shards: int) -> int:
    """Returns the sub-queries that one of several hosts may have running.

    ``slots`` are those that all targets of the workload offer now. A host
    may always run one query of ``shards`` sub-queries.
    """
    return max(math.ceil(slots * DEPTH / max(hosts, 1)), shards)
