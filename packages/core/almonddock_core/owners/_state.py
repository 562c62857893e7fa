"""The state of a target as its owner observes it."""

from datetime import timedelta

from almonddock_core.deployment import TargetEntry
from almonddock_core.model import Reason, ReplyStatus, SubReply
from almonddock_core.owners._concurrency import ConcurrencyLimit
from almonddock_core.owners._health import TargetHealth
from almonddock_core.owners._running import RunningTry
from almonddock_core.owners._settings import OwnerSettings


class TargetState:
    """Tracks a target's state from its replies and its health endpoint.

    The health endpoint may lag: except for draining, the state that it reports
    does not override a more recent reply.
    """

    def __init__(
        self,
        entry: TargetEntry,
        settings: OwnerSettings,
        quiet_until: timedelta,
    ) -> None:
        self.limit = ConcurrencyLimit(entry, settings)
        #: Nothing is sent before this time.
        self.quiet_until = quiet_until
        self._settings = settings
        self._closed: dict[Reason, timedelta] = {}
        self._replied_at = timedelta(days=-1)
        self._refusals = 0

    @property
    def closed(self) -> Reason:
        """Why the target takes no new work; NONE while it does."""
        return next(iter(self._closed), Reason.NONE)

    @property
    def expected_duration(self) -> timedelta:
        """The expected duration of a try, by the configured quantile."""
        quantile = self._settings.finish_quantile
        return self.limit.times.compute_quantile(quantile)

    def close(self, reason: Reason, now: timedelta) -> None:
        """Adds a reason to take no new work."""
        self._closed.setdefault(reason, now)

    def reopen(self, reason: Reason, now: timedelta) -> None:
        """Removes a reason to be closed; the target is treated as cold."""
        if self._closed.pop(reason, None) is not None:
            self.limit.reset(now)

    def record_reply(
        self,
        reply: SubReply,
        ended: RunningTry,
        now: timedelta,
    ) -> None:
        """Updates the state from the reply to a try that occupied a slot."""
        if reply.status is not ReplyStatus.UNKNOWN:
            self._replied_at = now
        if reply.load_report.draining or reply.reason is Reason.DRAINING:
            self.close(Reason.DRAINING, now)
        self._adjust_limit(reply, ended, now)

    def observe_health(self, health: TargetHealth, now: timedelta) -> None:
        """Updates the state from the health endpoint."""
        lag = self._settings.health_lag
        if health is TargetHealth.DRAINING:
            self.close(Reason.DRAINING, now)
        elif health is TargetHealth.COLD:
            if now - self._replied_at > lag:
                self.limit.reset(now)
        elif now - self._closed.get(Reason.DRAINING, now) > lag:
            self.reopen(Reason.DRAINING, now)

    def _adjust_limit(
        self,
        reply: SubReply,
        ended: RunningTry,
        now: timedelta,
    ) -> None:
        if (reply.load_report.in_flight or 0) > ended.peak:
            self._pause_for_other_sender(now)
        elif reply.load_report.cold or reply.reason is Reason.COLD:
            self.limit.reset(now)
        elif reply.status is ReplyStatus.OK:
            self._refusals = 0
            self.limit.record_success(now - ended.sent_at, ended.sent_at, now)
        elif reply.reason is Reason.OVERLOADED:
            self.limit.halve(now)
            self._back_off(now)

    def _back_off(self, now: timedelta) -> None:
        """Pauses after a refusal, with exponential backoff."""
        max_backoff = self._settings.max_backoff
        backoff = self._settings.initial_backoff * 2**self._refusals
        if backoff < max_backoff:
            self._refusals += 1
        self.quiet_until = now + min(backoff, max_backoff)

    def _pause_for_other_sender(self, now: timedelta) -> None:
        """Pauses because the target runs work that this owner did not send."""
        self.limit.reset(now)
        self.quiet_until = now + self._settings.quiet_period
