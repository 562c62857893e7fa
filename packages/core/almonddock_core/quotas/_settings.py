"""The bound on what an organisation's requests may exceed its quota by."""

from dataclasses import dataclass
from datetime import timedelta

#: How long a credit can be used after it was asked for: above the round trip
#: to a busy host, far below a window.
CREDIT_MAX_AGE_MS = 250
CREDIT_MAX_AGE = timedelta(milliseconds=CREDIT_MAX_AGE_MS)


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """How much all hosts together may let in.

    In any ``window``, at most ``(rate * window + burst) * (1 + overshoot) +
    slack`` requests of an organisation run.
    """

    window: timedelta
    #: The share of the quota by which requests may exceed it.
    overshoot: float = 0
    #: The number of requests by which they may exceed it besides.
    slack: float = 0

    @property
    def grant_window(self) -> timedelta:
        """The time in which credits that run within one window are granted."""
        return self.window + CREDIT_MAX_AGE
