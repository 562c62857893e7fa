"""Whether a host is cut off from the other data centres.

A network partition may cut off a data centre while callers still reach its
hosts. These cannot serve queries whose shards are elsewhere, so callers should
use hosts of another data centre.
"""

from dataclasses import dataclass
from datetime import timedelta

#: How long an answer from another data centre proves that it is reachable:
#: above the time that busy hosts let pass between two requests to a target.
REACHABILITY_TIMEOUT = timedelta(seconds=1)

#: Fewer unreachable targets may be down by themselves, without a partition.
MIN_UNREACHABLE = 3


@dataclass(frozen=True, slots=True)
class Reach:
    """What a host can reach now."""

    #: When a target in another data centre was last reached; None if never.
    elsewhere_reached: timedelta | None
    #: Targets in other data centres that cannot be connected to.
    elsewhere_unreachable: int
    #: Whether some route has too few reachable services for an answer.
    short: bool


def is_isolated(reach: Reach, now: timedelta) -> bool:
    """Whether callers should use hosts of another data centre."""
    reached = reach.elsewhere_reached
    if reached is not None and now - reached < REACHABILITY_TIMEOUT:
        return False
    return reach.short and reach.elsewhere_unreachable >= MIN_UNREACHABLE
