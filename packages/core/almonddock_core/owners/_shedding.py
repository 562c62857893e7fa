"""Which waiting sub-queries are refused early."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Reason, TargetLoad
from almonddock_core.owners._queue import Waiting, compute_value
from almonddock_core.owners._settings import OwnerSettings


@dataclass(frozen=True, slots=True)
class Shed:
    """A waiting sub-query to refuse and why."""

    waiting: Waiting
    reason: Reason


@dataclass(frozen=True, slots=True)
class Timing:
    """When the target can start and finish work."""

    now: timedelta
    #: How long nothing may be sent yet.
    pause: timedelta
    #: How long a try must be expected to run.
    finish_time: timedelta


def find_hopeless(
    queue: Sequence[Waiting],
    load: TargetLoad,
    settings: OwnerSettings,
    timing: Timing,
) -> list[Shed]:
    """Returns the sub-queries that the target cannot serve in time.

    The queue is walked in its order. Where one could not finish before its
    deadline, the one of least value so far is given up, which makes room
    for all behind it.
    """
    finish_at = timing.now + timing.finish_time
    shed: list[Shed] = []
    kept: list[Waiting] = []
    for waiting in queue:
        if finish_at > waiting.sub.deadline:
            shed.append(Shed(waiting, Reason.TIMED_OUT))
            continue
        kept.append(waiting)
        wait = timing.pause + _estimate_wait(len(kept), load)
        late = finish_at + wait > waiting.sub.deadline
        if late or len(kept) > settings.queue_limit:
            least = min(kept, key=compute_value)
            kept.remove(least)
            shed.append(Shed(least, Reason.OVERLOADED))
    return shed


def _estimate_wait(place: int, load: TargetLoad) -> timedelta:
    """Returns the expected wait of the sub-query at a place from one."""
    ahead = max(0, place + load.in_flight - load.allowed)
    return load.service_time * ahead / load.allowed
