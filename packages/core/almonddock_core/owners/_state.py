"""What the owner believes of its target."""

from datetime import timedelta

from almonddock_core.deployment import TargetEntry
from almonddock_core.model import Reason, ReplyStatus, SubReply
from almonddock_core.owners._health import TargetHealth
from almonddock_core.owners._ramp import Ramp
from almonddock_core.owners._running import RunningTry
from almonddock_core.owners._settings import OwnerSettings


class TargetState:
    """Learns from replies first, then from the health endpoint.

    The health endpoint may lag: it never overrules a newer reply.
    """

    def __init__(
        self,
        entry: TargetEntry,
        settings: OwnerSettings,
        quiet_until: timedelta,
    ) -> None:
        self.ramp = Ramp(entry, settings)
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
    def finish_time(self) -> timedelta:
        """The time that a try must have left when it starts."""
        quantile = self._settings.finish_quantile
        return self.ramp.times.compute_quantile(quantile)

    def close(self, reason: Reason, now: timedelta) -> None:
        """Adds a reason to take no new work."""
        self._closed.setdefault(reason, now)

    def reopen(self, reason: Reason, now: timedelta) -> None:
        """Ends one reason to be closed; the target is treated as cold."""
        if self._closed.pop(reason, None) is not None:
            self.ramp.restart(now)

    def learn(
        self,
        reply: SubReply,
        ended: RunningTry,
        now: timedelta,
    ) -> None:
        """Learns from a reply to a try that took a slot."""
        if reply.status is not ReplyStatus.UNKNOWN:
            self._replied_at = now
        if reply.mark.draining or reply.reason is Reason.DRAINING:
            self.close(Reason.DRAINING, now)
        self._adjust_ramp(reply, ended, now)

    def observe_health(self, health: TargetHealth, now: timedelta) -> None:
        """Learns from the health endpoint."""
        lag = self._settings.health_lag
        if health is TargetHealth.DRAINING:
            self.close(Reason.DRAINING, now)
        elif health is TargetHealth.COLD:
            if now - self._replied_at > lag:
                self.ramp.restart(now)
        elif now - self._closed.get(Reason.DRAINING, now) > lag:
            self.reopen(Reason.DRAINING, now)

    def _adjust_ramp(
        self,
        reply: SubReply,
        ended: RunningTry,
        now: timedelta,
    ) -> None:
        if (reply.mark.in_flight or 0) > ended.peak:
            self._yield_to_other_sender(now)
        elif reply.mark.cold or reply.reason is Reason.COLD:
            self.ramp.restart(now)
        elif reply.status is ReplyStatus.OK:
            self._refusals = 0
            self.ramp.succeed(now - ended.sent_at, ended.sent_at, now)
        elif reply.reason is Reason.OVERLOADED:
            self.ramp.shed(now)
            self._pause(now)

    def _pause(self, now: timedelta) -> None:
        """Waits longer after each refusal in a row."""
        longest = self._settings.longest_pause
        pause = self._settings.first_pause * 2**self._refusals
        if pause < longest:
            self._refusals += 1
        self.quiet_until = now + min(pause, longest)

    def _yield_to_other_sender(self, now: timedelta) -> None:
        """Pauses, since the target runs work that this owner never sent."""
        self.ramp.restart(now)
        self.quiet_until = now + self._settings.quiet_period
