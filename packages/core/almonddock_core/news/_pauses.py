"""How long a host waits between two reads of the store's changes.

Targets write so often that a watch (a call to the store that waits for a
change) returns at once, so the pauses decide how many calls are paid for.
Changes must be in force in time, a target that turns cold must soon get less
load, and callers wait for entries that targets write again after an outage of
the store.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta

#: The pause between two watches, as a share of the time within which a change
#: must be in force. It gathers changes into one call and leaves time for a
#: second call if the first one is lost.
STORE_PAUSE_SHARE = 0.4

#: The same where a change may pass through two hosts: for a host that others
#: read from, and for one that reads from a peer.
RELAY_PAUSE_SHARE = 0.2

#: The pause while some service limits the load of its cold targets: a target
#: that turns cold gets its usual load until its entry has been read. The same
#: while a version is rolled out, which may turn out bad.
COLD_PAUSE_MS = 250
COLD_PAUSE = timedelta(milliseconds=COLD_PAUSE_MS)

#: The pause while targets write entries again that lapsed in an outage.
RECOVERY_PAUSE_MS = 150
RECOVERY_PAUSE = timedelta(milliseconds=RECOVERY_PAUSE_MS)

#: Hosts up to which `RECOVERY_PAUSE` applies; more of them take longer pauses,
#: so that all together make no more calls.
RECOVERY_HOSTS = 4

#: The pause between two requests to a watcher, which answers only when there
#: is a change; it gathers changes that come together.
WATCHER_PAUSE_MS = 50
WATCHER_PAUSE = timedelta(milliseconds=WATCHER_PAUSE_MS)

#: Where the age of knowledge is bounded, the share of the bound that it may
#: reach before the next read is sent. With that read's own time it leaves the
#: service that is owed after a cut (0.6 of the bound).
PROOF_SHARE = 0.3


class ReadSource(enum.Enum):
    """Where a host gets the changes of the store from."""

    #: Nowhere: the last read failed, or none was made.
    NONE = 'none'
    #: From the store itself.
    STORE = 'store'
    #: From a watcher of its data centre.
    WATCHER = 'watcher'
    #: From any host, because the store rejects this one; that host may call
    #: the store on its behalf.
    PEER = 'peer'


@dataclass(frozen=True, slots=True)
class PauseInputs:
    """The values that determine the pause."""

    #: How soon a change must be in force.
    max_delay: timedelta
    #: Hosts of the tier.
    hosts: int
    #: Whether other hosts may read the changes from this one.
    has_followers: bool
    #: Whether some service limits the load of its cold targets, or is moved to
    #: another version.
    needs_soon: bool
    #: Whether targets may be writing lapsed entries again.
    is_recovering: bool
    source: ReadSource


def choose_pause(inputs: PauseInputs) -> timedelta:
    """Returns the pause before the next read."""
    if inputs.source is ReadSource.WATCHER:
        return WATCHER_PAUSE
    relayed = inputs.has_followers or inputs.source is ReadSource.PEER
    share = RELAY_PAUSE_SHARE if relayed else STORE_PAUSE_SHARE
    pause = inputs.max_delay * share
    if inputs.needs_soon:
        pause = min(pause, COLD_PAUSE)
    if inputs.is_recovering:
        slowdown = max(1, inputs.hosts / RECOVERY_HOSTS)
        pause = min(pause, RECOVERY_PAUSE * slowdown)
    return pause


def limit_pause(
    pause: timedelta, age: timedelta | None, bound: timedelta
) -> timedelta:
    """Returns a pause after which knowledge is still young enough.

    ``age`` is that of the newest knowledge, None without any. After a slow
    read, or one that a suspended host had sent, the next follows at once.
    """
    left = timedelta() if age is None else bound * PROOF_SHARE - age
    return max(min(pause, left), min(pause, WATCHER_PAUSE))
