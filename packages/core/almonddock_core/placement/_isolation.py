"""Whether a host is cut off from the other data centres.

Load it answers: a data centre that is cut off while callers still reach its
hosts. They cannot serve queries whose shards are elsewhere, and callers are
better off at hosts of another data centre.
"""

from dataclasses import dataclass
from datetime import timedelta

#: How long an answer from another data centre shows that the way is open:
#: above the time that busy hosts let pass between two requests to a target.
REACH_MEMORY = timedelta(seconds=1)

#: A few targets may be down by themselves; so many are a cut.
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
    """Whether callers are better off at hosts of another data centre."""
    reached = reach.elsewhere_reached
    if reached is not None and now - reached < REACH_MEMORY:
        return False
    return reach.short and reach.elsewhere_unreachable >= MIN_UNREACHABLE
