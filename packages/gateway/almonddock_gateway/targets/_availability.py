"""What replies say of a target's will to take requests."""

from collections.abc import Callable
from datetime import timedelta

from almonddock_core.model import Clock
from almonddock_core.routing import KnownTarget
from almonddock_gateway.http import HttpReply
from almonddock_gateway.settings import HeaderNames
from almonddock_gateway.telemetry import Telemetry

MISDIRECTED = 421
UNAVAILABLE = 503

#: The content of the header of a target that leaves.
LEAVING = b'1'

#: Longer rests are errors.
MAX_REST = timedelta(days=1)

ObserveReply = Callable[[KnownTarget, HttpReply], None]


def build_observer(
    names: HeaderNames, clock: Clock, telemetry: Telemetry
) -> ObserveReply:
    """Returns a function that records what the reply of a target says."""

    def observe(target: KnownTarget, reply: HttpReply) -> None:
        if reply.status == MISDIRECTED:
            # Another target has replied.
            return
        if reply.find(names.leaving) == LEAVING and not target.leaving:
            target.leaving = True
            telemetry.log_event(
                'target_leaving',
                target=target.entry.target_id,
                service=target.entry.service,
            )
        rest = read_rest(reply)
        now = clock.now()
        if rest and now + rest > target.rests_until:
            target.rests_until = now + rest
            telemetry.log_event(
                'target_rests',
                target=target.entry.target_id,
                service=target.entry.service,
                rest=rest,
            )

    return observe


def read_rest(reply: HttpReply) -> timedelta:
    """Returns how long a target wants no more requests of this host.

    It may say so as it turns a request away. Zero if it does not, or if the
    header cannot be read.
    """
    stated = reply.find(b'retry-after')
    if reply.status != UNAVAILABLE or stated is None:
        return timedelta()
    try:
        rest = timedelta(seconds=float(stated))
    except (ValueError, OverflowError):
        return timedelta()
    return rest if timedelta() < rest <= MAX_REST else timedelta()
