"""When the late sub-queries of a query are hedged."""

from collections.abc import Collection
from datetime import timedelta

from almonddock_core.model import TargetId
from almonddock_core.scatter._latency import LatencyTable
from almonddock_core.scatter._settings import ScatterSettings


class HedgeTimer:
    """Holds late sub-queries to the time that the others took.

    Once most shards are in, the rest is due after a multiple of that time.
    A multiple of the slowest target's latency quantile bounds the wait, for
    small queries and for those of which too many shards are late.
    """

    def __init__(self, settings: ScatterSettings) -> None:
        self._settings = settings
        self._started = timedelta()
        self._total = 0
        #: Due when few shards are missing.
        self._relative: timedelta | None = None
        #: Due however many shards are missing.
        self._latest: timedelta | None = None

    def start(
        self,
        now: timedelta,
        targets: Collection[TargetId],
        latencies: LatencyTable,
    ) -> None:
        """Starts the wait for the first tries at ``targets``."""
        default = self._settings.default_quantile
        slowest = max(
            (latencies.quantile(one) or default for one in targets),
            default=default,
        )
        self._started = now
        self._total = len(targets)
        self._latest = now + slowest * self._settings.quantile_factor

    def note_reply(self, now: timedelta, missing: int) -> None:
        """Sets the relative time once the given share of shards is in."""
        if self._relative is not None or self._latest is None:
            return
        if self._total - missing >= self._total * self._settings.hedge_share:
            wait = (now - self._started) * self._settings.hedge_factor
            self._relative = self._started + wait

    def restart(self, now: timedelta) -> None:
        """Waits as long again before the next round of hedges."""
        self._latest = now + (now - self._started)
        self._relative = self._latest

    def next_due(self, missing: int) -> timedelta | None:
        """Returns when the missing shards are late, None if never."""
        if self._latest is None or self._relative is None:
            return self._latest
        if missing > max(self._total * self._settings.hedge_limit, 1):
            return self._latest
        return min(self._relative, self._latest)

    def is_due(self, now: timedelta, missing: int) -> bool:
        """Returns whether the missing shards are late."""
        due = self.next_due(missing)
        return due is not None and now >= due
