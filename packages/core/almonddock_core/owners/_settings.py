"""Settings of the owner side, passed whole."""

from dataclasses import dataclass
from datetime import timedelta

DEADLINE_GRACE_MS = 50


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """How an owner queues for, paces and watches one target."""

    #: Sub-queries that may wait for one target.
    queue_limit: int = 64
    #: How long work may outlast its deadline at the target.
    deadline_grace: timedelta = timedelta(milliseconds=DEADLINE_GRACE_MS)
    #: How long an inherited target gets nothing from its new owner.
    quiet_period: timedelta = timedelta(seconds=1)
    #: The first pause after the target refused work; each refusal doubles it.
    first_pause: timedelta = timedelta(milliseconds=10)
    #: The longest such pause.
    longest_pause: timedelta = timedelta(seconds=1) / 2
    #: Service times kept for each target.
    history_size: int = 64
    #: The quantile of the service time that must fit before a deadline.
    finish_quantile: float = 0.9
    #: A reply is slow when it takes this many times the usual time.
    slow_ratio: float = 3
    #: Of this many last replies ...
    slow_window: int = 4
    #: ... this many slow ones show that the target has turned cold.
    slow_count: int = 3
    #: How long a health report may lag behind the replies.
    health_lag: timedelta = timedelta(seconds=5)
