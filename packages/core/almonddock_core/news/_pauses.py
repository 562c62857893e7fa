"""How long a host waits between two reads of the store's changes.

Load it answers: targets write so often that a watch returns at once, so the
pauses decide how many calls are paid for. News must be in force in time, a
target that turns cold must be spared soon, and callers wait for entries that
return after an outage.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta

#: The pause between two watches, as a share of the time within which a change
#: must be in force. It gathers changes into one call and leaves time for a
#: second call if the first one is lost.
BOUND_SHARE = 0.4

#: The same where what is read has one more host to go to: a host that reads
#: for others, and one that reads through a host which may be such a one.
SHARED_SHARE = 0.2

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

#: The pause between two questions to a watcher, which answers only when there
#: is news; it gathers changes that come together.
WATCHER_PAUSE_MS = 50
WATCHER_PAUSE = timedelta(milliseconds=WATCHER_PAUSE_MS)


class NewsSource(enum.Enum):
    """Where a host has its news from."""

    #: Nowhere: the last read failed, or none was made.
    NONE = 'none'
    #: From the store itself.
    STORE = 'store'
    #: From a host of its data centre that follows the store.
    WATCHER = 'watcher'
    #: From some host, because the store turns this one away; that host may
    #: make a call to the store for it.
    PEER = 'peer'


@dataclass(frozen=True, slots=True)
class FollowState:
    """What the pause depends on."""

    #: How soon a change must be in force.
    bound: timedelta
    #: Hosts of the tier.
    hosts: int
    #: Whether other hosts may have their news from this one.
    has_followers: bool
    #: Whether some service states what its cold targets bear.
    has_cold_rates: bool
    #: Whether lapsed entries may be coming back.
    is_returning: bool
    source: NewsSource


def choose_pause(state: FollowState) -> timedelta:
    """Returns the pause before the next read."""
    if state.source is NewsSource.WATCHER:
        return WATCHER_PAUSE
    shared = state.has_followers or state.source is NewsSource.PEER
    share = SHARED_SHARE if shared else BOUND_SHARE
    pause = state.bound * share
    if state.has_cold_rates:
        pause = min(pause, COLD_PAUSE)
    if state.is_returning:
        crowd = max(1, state.hosts / RETURN_HOSTS)
        pause = min(pause, RETURN_PAUSE * crowd)
    return pause
