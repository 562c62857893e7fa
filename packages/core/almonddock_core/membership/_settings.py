"""Settings and actions of the membership state machine."""

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from almonddock_core.membership._messages import MembershipMessage
from almonddock_core.model import HostId, MembershipView


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Timeouts and limits; the load per host is independent of fleet size."""

    #: One member is probed in each period.
    period: timedelta = timedelta(seconds=1) / 2
    #: Without a reply after this time, other hosts are asked to probe.
    direct_timeout: timedelta = timedelta(seconds=1) / 2
    #: Without any reply after this time, the member is suspected.
    probe_timeout: timedelta = timedelta(seconds=1)
    #: The number of hosts asked to probe an unresponsive member.
    indirect_probes: int = 3
    #: Periods until a suspected member is declared dead, multiplied by the
    #: decimal logarithm of the number of hosts if that exceeds 1.
    suspicion_periods: int = 2
    #: The most membership updates in one message, besides the sender's.
    max_updates: int = 6
    #: The number of sends of an update, multiplied by the binary logarithm of
    #: the number of hosts.
    update_repeats: int = 3
    #: On average one probe in this many goes to a host that is in the host
    #: list but dead or unknown.
    dead_probe_interval: int = 4
    #: How long a dead member is kept that is not in the host list.
    forget_after: timedelta = timedelta(minutes=2)
    #: A longer interval between two ticks means that the host was paused.
    pause_limit: timedelta = timedelta(seconds=2)
    #: A host without other members counts as validated this long after its
    #: start or the end of a pause.
    join_timeout: timedelta = timedelta(seconds=1)
    #: The number of hosts notified at once that this host is leaving.
    leave_announce_count: int = 16

    def compute_suspicion_timeout(self, hosts: int) -> timedelta:
        """Returns how long a member stays suspected before it is dead."""
        factor = max(1, math.log10(max(1, hosts)))
        return self.period * self.suspicion_periods * factor

    def compute_repeats(self, hosts: int) -> int:
        """Returns the number of sends of a membership update."""
        return self.update_repeats * math.ceil(math.log2(hosts + 1))


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a host, without guaranteed delivery."""

    host: HostId
    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The set of members or their states changed."""

    view: MembershipView


@dataclass(frozen=True, slots=True)
class Paused:
    """This host was paused; its view of other hosts may be stale."""

    gap: timedelta


MembershipAction: TypeAlias = Send | ViewChanged | Paused
