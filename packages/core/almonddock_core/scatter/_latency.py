"""What this host has seen of each target."""

import math
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import SubReply, TargetId, TargetLoad

#: The quantile of a target's service times after which a reply is late.
QUANTILE = 0.98
#: The relative step of the quantile estimate on each reply.
STEP = 0.05
#: The weight of a new sample in the smoothed network time.
WEIGHT = 0.1
#: The weight of a new sample in the smoothed lateness.
LATE_WEIGHT = 0.3
#: Replies after which the estimate is used.
MIN_SAMPLES = 20
#: Without news the smoothed lateness halves in this time.
HALF_LIFE = timedelta(seconds=1)
#: Hedges that a target takes for each other try, and in one burst.
HEDGE_SHARE = 0.2
HEDGE_BURST = 5


@dataclass(slots=True)
class _Record:
    samples: int = 0
    quantile: timedelta = timedelta()
    network: timedelta = timedelta()
    #: The load seen last, and the tries sent since it came.
    load: TargetLoad | None = None
    sent: int = 0
    #: How much later than others tries have lately been, smoothed.
    lateness: timedelta = timedelta()
    late_at: timedelta = timedelta()
    #: Hedges that may go to the target.
    hedges: float = HEDGE_BURST


class LatencyTable:
    """Service times, network times and recent sends, a record a target.

    One table serves all queries of a host. The quantile is a stochastic
    estimate, so that a record costs a few numbers however long it lives.
    """

    def __init__(self) -> None:
        self._records: dict[TargetId, _Record] = {}

    def record(self, reply: SubReply, elapsed: timedelta) -> None:
        """Learns from a reply that was counted."""
        known = self._find(reply.target)
        network = max(elapsed - reply.queued - reply.served, timedelta())
        if known.samples:
            known.quantile = _move_quantile(known.quantile, reply.served)
            known.network += WEIGHT * (network - known.network)
        else:
            known.quantile = reply.served
            known.network = network
        known.samples += 1

    def quantile(self, target: TargetId) -> timedelta | None:
        """Returns the service time that few replies exceed, once known."""
        known = self._records.get(target)
        if known is None or known.samples < MIN_SAMPLES:
            return None
        return known.quantile

    def network(self, target: TargetId) -> timedelta:
        """Returns the smoothed part of round trips spent on the way."""
        known = self._records.get(target)
        return known.network if known else timedelta()

    def note_sent(self, target: TargetId, load: TargetLoad | None) -> None:
        """Counts a try that ``load`` cannot include yet."""
        known = self._find(target)
        known.sent = self.count_sent(target, load) + 1
        known.load = load
        known.hedges = min(known.hedges + HEDGE_SHARE, HEDGE_BURST)

    def note_late(
        self,
        target: TargetId,
        late: timedelta,
        now: timedelta,
    ) -> None:
        """Learns by how much a try was later than another; zero if not."""
        known = self._find(target)
        before = _fade(known, now)
        known.lateness = before + LATE_WEIGHT * (late - before)
        known.late_at = now

    def lateness(self, target: TargetId, now: timedelta) -> timedelta:
        """Returns how much later than others a try is likely to be."""
        known = self._records.get(target)
        return _fade(known, now) if known else timedelta()

    def may_hedge(self, target: TargetId) -> bool:
        """Returns whether the target may take one more hedge."""
        return self._find(target).hedges >= 1

    def note_hedge(self, target: TargetId) -> None:
        """Counts a hedge against what the target takes."""
        self._find(target).hedges -= 1

    def count_sent(self, target: TargetId, load: TargetLoad | None) -> int:
        """Returns the tries sent since ``load`` came."""
        known = self._records.get(target)
        return known.sent if known and known.load is load else 0

    def _find(self, target: TargetId) -> _Record:
        known = self._records.get(target)
        if known is None:
            known = _Record()
            self._records[target] = known
        return known


def _fade(known: _Record, now: timedelta) -> timedelta:
    if not known.lateness:
        return known.lateness
    return known.lateness * math.exp2(-(now - known.late_at) / HALF_LIFE)


def _move_quantile(quantile: timedelta, served: timedelta) -> timedelta:
    if served > quantile:
        return quantile * (1 + STEP * QUANTILE)
    return quantile * (1 - STEP * (1 - QUANTILE))
