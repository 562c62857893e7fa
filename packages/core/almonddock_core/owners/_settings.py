"""Settings of the owner side."""

from dataclasses import dataclass
from datetime import timedelta

DEADLINE_GRACE_MS = 50


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Limits and timeouts of the queue and the pacing of one target."""

    #: The most sub-queries that wait for one target.
    queue_limit: int = 64
    #: How long work may run at the target after its deadline.
    deadline_grace: timedelta = timedelta(milliseconds=DEADLINE_GRACE_MS)
    #: How long nothing is sent to a target after a change of owner, or after
    #: another sender was detected.
    quiet_period: timedelta = timedelta(seconds=1)
    #: The pause after a refusal; doubles with each further one in a row.
    initial_backoff: timedelta = timedelta(milliseconds=10)
    #: The upper limit of that pause.
    max_backoff: timedelta = timedelta(seconds=1) / 2
    #: The number of service times kept for each target.
    history_size: int = 64
    #: The quantile of service times that is the expected duration of a try; a
    #: sub-query is refused when less time is left until its deadline.
    finish_quantile: float = 0.9
    #: A reply is slow when it takes this multiple of the median time.
    slow_ratio: float = 3
    #: The number of last replies in which slow ones are counted.
    slow_window: int = 4
    #: The number of slow replies after which the target counts as cold.
    slow_count: int = 3
    #: How long the health endpoint may lag behind replies.
    health_lag: timedelta = timedelta(seconds=5)
