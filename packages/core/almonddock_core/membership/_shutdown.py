"""The order of a graceful shutdown."""

import enum
from dataclasses import dataclass
from datetime import timedelta

_DRAIN_SECONDS = 60


class ShutdownPhase(enum.Enum):
    """What a host still does."""

    SERVING = 'serving'
    #: Not ready and leaving, but every request is still accepted, because
    #: the balancer and other hosts learn of it only after a while.
    NOTICE = 'notice'
    #: New requests are refused as not run; accepted ones are finished.
    DRAINING = 'draining'
    #: Nothing is outstanding, or the time is up.
    DONE = 'done'


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """How long each phase may take."""

    #: How long the balancer may take to send requests elsewhere.
    notice: timedelta = timedelta(seconds=3)
    #: The longest deadline of a query, after which none can be running.
    drain_limit: timedelta = timedelta(seconds=_DRAIN_SECONDS)


class ShutdownPlan:
    """Decides in which phase of a shutdown a host is.

    Call :meth:`begin` at SIGTERM, then :meth:`advance` until it returns
    ``DONE``.
    """

    def __init__(self, settings: ShutdownSettings) -> None:
        self._settings = settings
        self._began: timedelta | None = None
        self.phase = ShutdownPhase.SERVING

    def begin(self, now: timedelta) -> bool:
        """Starts the shutdown; returns False if it has begun before."""
        if self._began is not None:
            return False
        self._began = now
        self.phase = ShutdownPhase.NOTICE
        return True

    def advance(self, outstanding: int, now: timedelta) -> ShutdownPhase:
        """Returns the phase, given the requests without an answer yet."""
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
