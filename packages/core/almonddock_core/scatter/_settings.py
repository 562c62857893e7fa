"""Settings of a scatter and what it shares with others on its host."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import TargetId, TargetLoad
from almonddock_core.scatter._budget import BudgetSettings, TryBudget
from almonddock_core.scatter._latency import LatencyTable

#: What stands for a target that is not known yet, in milliseconds.
QUANTILE_MS = 50
SERVICE_MS = 10

PAUSE_MS = 2


@dataclass(frozen=True, slots=True)
class ScatterSettings:
    """When to hedge and how often to try."""

    #: The share of shards in, from 0 to 1, whose time others are held to.
    hedge_share: float = 0.8
    #: Others are hedged after this multiple of that time.
    hedge_factor: float = 1.4
    #: Hedging waits until at most this share of shards is missing.
    hedge_limit: float = 0.1
    #: A try is late after its expected wait and this multiple of the
    #: quantile of its target's service times.
    quantile_factor: float = 1.2
    #: Stands for that quantile while the target is not known.
    default_quantile: timedelta = timedelta(milliseconds=QUANTILE_MS)
    #: Stands for the service time of a target that is not known yet.
    default_service: timedelta = timedelta(milliseconds=SERVICE_MS)
    #: Tokens that must be there for each hedge of a round, so that some are
    #: left for sub-queries that turn out to be slower still.
    hedge_reserve: float = 2
    #: The least time before a hedge that could not go out is due again.
    hedge_pause: timedelta = timedelta(milliseconds=PAUSE_MS)
    #: Tries of one shard at most, the first one included.
    max_tries: int = 3
    budget: BudgetSettings = BudgetSettings()


@dataclass(frozen=True, slots=True)
class ScatterContext:
    """What all scatters of one host share."""

    budget: TryBudget
    #: What owners last said of each target; may be stale or absent.
    loads: Mapping[TargetId, TargetLoad]
    random: random.Random
    latencies: LatencyTable
