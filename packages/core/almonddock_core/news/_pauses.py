"""How long a host waits between two reads of the store's changes.

Load it answers: targets write so often that a watch returns at once, so the
pauses decide how many calls are paid for. News must be in force in time, a
target that turns cold must be spared soon, and callers wait for entries that
return after an outage.
"""

from dataclasses import dataclass
from datetime import timedelta

#: The pause between two watches, as a share of the time within which a change
#: must be in force. It gathers changes into one call and leaves time for a
#: second call if the first one is lost.
BOUND_SHARE = 0.4

#: The pause while some service states what its cold targets bear: a target
#: that turns cold gets its usual load until its entry has been read.
COLD_PAUSE_MS = 250
COLD_PAUSE = timedelta(milliseconds=COLD_PAUSE_MS)

#: The pause while entries that lapsed with the store are coming back.
RETURN_PAUSE_MS = 150
RETURN_PAUSE = timedelta(milliseconds=RETURN_PAUSE_MS)

#: Hosts that may read at that pace; more of them take longer pauses, so that
#: all together make no more calls.
RETURN_HOSTS = 4

#: The pause between two questions to another host, which answers only when
#: there is news; it gathers changes that come together.
PEER_PAUSE_MS = 50
PEER_PAUSE = timedelta(milliseconds=PEER_PAUSE_MS)


@dataclass(frozen=True, slots=True)
class FollowState:
    """What the pause depends on."""

    #: How soon a change must be in force.
    bound: timedelta
    #: Hosts of the tier.
    hosts: int
    #: Whether some service states what its cold targets bear.
    has_cold_rates: bool
    #: Whether lapsed entries may be coming back.
    is_returning: bool
    #: Whether another host is asked instead of the store.
    asks_peer: bool


def choose_pause(state: FollowState) -> timedelta:
    """Returns the pause before the next read."""
    if state.asks_peer:
        return PEER_PAUSE
    pause = state.bound * BOUND_SHARE
    if state.has_cold_rates:
        pause = min(pause, COLD_PAUSE)
    if state.is_returning:
        crowd = max(1, state.hosts / RETURN_HOSTS)
        pause = min(pause, RETURN_PAUSE * crowd)
    return pause
