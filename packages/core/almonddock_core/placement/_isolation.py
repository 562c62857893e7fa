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
class Reachability:
    """What a host can reach now."""

    #: When a target in another data centre was last reached; None if never.
    remote_reached: timedelta | None
    #: Targets in other data centres that cannot be connected to.
    remote_unreachable: int
    #: Whether some route has too few reachable services for an answer.
    lacks_coverage: bool


def is_isolated(reachability: Reachability, now: timedelta) -> bool:
    """Whether callers should use hosts of another data centre."""
    reached = reachability.remote_reached
    if reached is not None and now - reached < REACHABILITY_TIMEOUT:
        return False
    return (
        reachability.lacks_coverage
        and reachability.remote_unreachable >= MIN_UNREACHABLE
    )
