"""Latency statistics that a host keeps of each target."""

import math
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import SubReply, TargetId, TargetLoad

#: The quantile of a target's service times from which the delay of a hedge is
#: estimated.
QUANTILE = 0.98
#: The step of the quantile estimate on each reply, relative to its value.
QUANTILE_STEP = 0.05
#: The weight of a new sample in the smoothed network time.
NETWORK_WEIGHT = 0.1
#: The weight of a new sample in the smoothed lateness.
LATENESS_WEIGHT = 0.3
#: Replies that the quantile estimate needs before it is used.
MIN_QUANTILE_SAMPLES = 20
#: The time in which the smoothed lateness halves without new samples.
LATENESS_HALF_LIFE = timedelta(seconds=1)
#: Hedge tokens that a target gains for each try, and the most it keeps.
HEDGE_REFILL = 0.2
MAX_HEDGE_TOKENS = 5


@dataclass(slots=True)
class _Record:
    samples: int = 0
    quantile: timedelta = timedelta()
    network: timedelta = timedelta()
    #: The last load reported, and the number of tries sent since then.
    load: TargetLoad | None = None
    sent_since_load: int = 0
    #: The smoothed delay of recent tries behind others of the same shard.
    lateness: timedelta = timedelta()
    lateness_at: timedelta = timedelta()
    #: Hedges that may be sent to the target; a token bucket.
    hedge_tokens: float = MAX_HEDGE_TOKENS


class LatencyTable:
    """Keeps service times, network times and recent sends of each target.

    All queries of a host share one table. The quantile is a stochastic
    estimate, so that a record has a constant size.
    """

    def __init__(self) -> None:
        self._records: dict[TargetId, _Record] = {}

    def record_reply(self, reply: SubReply, elapsed: timedelta) -> None:
        """Updates the estimates from a reply that was counted."""
        record = self._find(reply.target)
        network = max(elapsed - reply.queued - reply.served, timedelta())
        if record.samples:
            record.quantile = _update_quantile(record.quantile, reply.served)
            record.network += NETWORK_WEIGHT * (network - record.network)
        else:
            record.quantile = reply.served
            record.network = network
        record.samples += 1

    def estimate_quantile(self, target: TargetId) -> timedelta | None:
        """Returns the high quantile of service times, None if too few."""
        record = self._records.get(target)
        if record is None or record.samples < MIN_QUANTILE_SAMPLES:
            return None
        return record.quantile

    def estimate_network_time(self, target: TargetId) -> timedelta:
        """Returns the smoothed part of round trips spent on the network."""
        record = self._records.get(target)
        return record.network if record else timedelta()

    def record_sent(self, target: TargetId, load: TargetLoad | None) -> None:
        """Counts a try that the reported ``load`` does not include yet."""
        record = self._find(target)
        record.sent_since_load = self.count_sent(target, load) + 1
        record.load = load
        record.hedge_tokens = min(
            record.hedge_tokens + HEDGE_REFILL, MAX_HEDGE_TOKENS
        )

    def record_lateness(
        self,
        target: TargetId,
        late: timedelta,
        now: timedelta,
    ) -> None:
        """Records the delay of a try behind another of its shard, or zero."""
        record = self._find(target)
        before = _decay_lateness(record, now)
        record.lateness = before + LATENESS_WEIGHT * (late - before)
        record.lateness_at = now

    def estimate_lateness(self, target: TargetId, now: timedelta) -> timedelta:
        """Returns the expected lateness of a try, decayed to ``now``."""
        record = self._records.get(target)
        return _decay_lateness(record, now) if record else timedelta()

    def may_hedge(self, target: TargetId) -> bool:
        """Returns whether one more hedge may be sent to the target."""
        return self._find(target).hedge_tokens >= 1

    def record_hedge(self, target: TargetId) -> None:
        """Takes a hedge token of the target."""
        self._find(target).hedge_tokens -= 1

    def count_sent(self, target: TargetId, load: TargetLoad | None) -> int:
        """Returns the number of tries sent since ``load`` was reported."""
        record = self._records.get(target)
        return record.sent_since_load if record and record.load is load else 0

    def _find(self, target: TargetId) -> _Record:
        record = self._records.get(target)
        if record is None:
            record = _Record()
            self._records[target] = record
        return record


def _decay_lateness(record: _Record, now: timedelta) -> timedelta:
    if not record.lateness:
        return record.lateness
    return record.lateness * math.exp2(
        -(now - record.lateness_at) / LATENESS_HALF_LIFE
    )


def _update_quantile(quantile: timedelta, served: timedelta) -> timedelta:
    if served > quantile:
        return quantile * (1 + QUANTILE_STEP * QUANTILE)
    return quantile * (1 - QUANTILE_STEP * (1 - QUANTILE))
