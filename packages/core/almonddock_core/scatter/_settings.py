"""Settings of a scatter and state shared by all scatters of a host."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import TargetId, TargetLoad
from almonddock_core.scatter._budget import AttemptBudget, BudgetSettings
from almonddock_core.scatter._latency import LatencyTable

#: Defaults for a target without statistics.
DEFAULT_QUANTILE_MS = 50
DEFAULT_SERVICE_MS = 10

HEDGE_PAUSE_MS = 2


@dataclass(frozen=True, slots=True)
class ScatterSettings:
    """Thresholds and limits of hedges and retries."""

    #: The share of shards, from 0 to 1, that must have answered before the
    #: remaining ones are compared with them.
    hedge_share: float = 0.8
    #: The remaining shards are late after this multiple of the time that
    #: those took.
    hedge_factor: float = 1.4
    #: That comparison applies once at most this share of shards is missing.
    hedge_limit: float = 0.1
    #: A try is late after its expected wait plus this multiple of the high
    #: quantile of its target's service times.
    quantile_factor: float = 1.2
    #: The quantile assumed for a target without enough replies.
    default_quantile: timedelta = timedelta(milliseconds=DEFAULT_QUANTILE_MS)
    #: The service time assumed for a target that has reported none.
    default_service: timedelta = timedelta(milliseconds=DEFAULT_SERVICE_MS)
    #: Budget tokens required for each of the sub-queries that are due to be
    #: hedged together, so that some are left for sub-queries that prove to be
    #: even slower.
    hedge_reserve: float = 2
    #: The shortest delay before a hedge that was not sent is due again.
    hedge_pause: timedelta = timedelta(milliseconds=HEDGE_PAUSE_MS)
    #: The most tries of one shard, including the first.
    max_tries: int = 3
    budget: BudgetSettings = BudgetSettings()


@dataclass(frozen=True, slots=True)
class ScatterContext:
    """State shared by all scatters of one host."""

    budget: AttemptBudget
    #: The load that owners last reported of each target; may be stale or
    #: absent.
    loads: Mapping[TargetId, TargetLoad]
    random: random.Random
    latencies: LatencyTable
