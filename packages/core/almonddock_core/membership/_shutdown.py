"""The phases of a graceful shutdown."""

import enum
from dataclasses import dataclass
from datetime import timedelta

_DRAIN_SECONDS = 60


class ShutdownPhase(enum.Enum):
    """The phase of a host's shutdown."""

    SERVING = 'serving'
    #: Not ready and leaving, but every request is still accepted, because
    #: the load balancer and other hosts notice with a delay.
    NOTICE = 'notice'
    #: New requests are refused with the outcome ``NOT_RUN``; accepted ones are
    #: completed.
    DRAINING = 'draining'
    #: No request is outstanding, or the drain limit has passed.
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """The maximum duration of each phase."""

    #: How long the load balancer may take to redirect requests.
    notice: timedelta = timedelta(seconds=3)
    #: The longest deadline of a query; no query runs longer.
    drain_limit: timedelta = timedelta(seconds=_DRAIN_SECONDS)


class ShutdownPlan:
    """Tracks the phase of a host's shutdown.

    Call :meth:`begin` at SIGTERM, then :meth:`advance` until it returns
    ``DONE``.
    """

    def __init__(self, settings: ShutdownSettings) -> None:
        self._settings = settings
        self._began: timedelta | None = None
        self.phase = ShutdownPhase.SERVING

    def begin(self, now: timedelta) -> bool:
        """Starts the shutdown; returns False if it has already begun."""
        if self._began is not None:
            return False
        self._began = now
        self.phase = ShutdownPhase.NOTICE
        return True

    def advance(self, outstanding: int, now: timedelta) -> ShutdownPhase:
        """Returns the phase, given the number of outstanding requests."""
        if self._began is None or self.phase is ShutdownPhase.DONE:
            return self.phase
        elapsed = now - self._began - self._settings.notice
        if elapsed >= timedelta():
            late = elapsed >= self._settings.drain_limit
            finished = late or not outstanding
            self.phase = (
                ShutdownPhase.DONE if finished else ShutdownPhase.DRAINING
            )
        return self.phase
