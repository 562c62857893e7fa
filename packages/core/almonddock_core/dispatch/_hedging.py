"""Whether late attempts at a service are hedged.

Load: some shards have only slow targets left, which can just bear the first
attempts. A hedge there runs at a target that is as slow and takes the place of
another query's first attempt: queues grow until every query waits. Slow
targets alone are no reason to stop, because most of those that look slow have
only paused, and their hedges are answered soon. So the sign is that hedges are
not answered.
"""

import math
from dataclasses import dataclass, field
from datetime import timedelta

#: Time constant with which outcomes of hedges are forgotten, in seconds.
DECAY_SECONDS = 3

#: Fewer recent hedges say nothing of a service.
MIN_HEDGES = 3

#: Hedges stop where fewer than this share of them are answered.
MIN_ANSWERED_SHARE = 0.3

#: The pause between hedges that find out whether hedges are answered again.
PROBE_INTERVAL = timedelta(seconds=2)

#: A hedge that ends without a reply counts from this age on, in typical
#: latencies: a sound target would have answered.
MIN_UNANSWERED_AGE = 2


@dataclass(slots=True)
class _Outcomes:
    """Recent hedges at one service, older ones counting less."""

    answered: float = 0
    unanswered: float = 0
    updated: timedelta = timedelta()
    #: When a hedge was last allowed.
    allowed: timedelta = timedelta()

    @property
    def total(self) -> float:
        """The number of recent hedges."""
        return self.answered + self.unanswered

    def decay(self, now: timedelta) -> None:
        """Forgets a part of what was recorded before."""
        age = (now - self.updated).total_seconds()
        left = math.exp(-age / DECAY_SECONDS)
        self.answered *= left
        self.unanswered *= left
        self.updated = now


@dataclass(slots=True)
class HedgeHistory:
    """What became of this host's hedges, by service."""

    _services: dict[str, _Outcomes] = field(default_factory=dict)

    def may_hedge(self, service: str, now: timedelta) -> bool:
        """Whether a late attempt at a service is hedged."""
        outcomes = self._services.get(service)
        if outcomes is None:
            return True
        outcomes.decay(now)
        needed = outcomes.total * MIN_ANSWERED_SHARE
        is_useful = outcomes.answered >= needed or outcomes.total < MIN_HEDGES
        if is_useful or now - outcomes.allowed >= PROBE_INTERVAL:
            outcomes.allowed = now
            return True
        return False

    def record_answered(self, service: str, now: timedelta) -> None:
        """Records a hedge that was answered before the first attempt."""
        self._get_outcomes(service, now).answered += 1

    def record_unanswered(
        self,
        service: str,
        age: float,
        now: timedelta,
    ) -> None:
        """Records a hedge that ended without a success.

        ``age`` is the time since it was sent, in typical latencies.
        """
        if age >= MIN_UNANSWERED_AGE:
            self._get_outcomes(service, now).unanswered += 1

    def drop_idle(self, now: timedelta) -> None:
        """Drops services without a recent hedge."""
        for service, outcomes in tuple(self._services.items()):
            outcomes.decay(now)
            if outcomes.total < 1 / MIN_HEDGES:
                del self._services[service]

    def _get_outcomes(self, service: str, now: timedelta) -> _Outcomes:
        outcomes = self._services.setdefault(service, _Outcomes())
        outcomes.decay(now)
        return outcomes
