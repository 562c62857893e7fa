"""Settings and actions of the membership."""

import math
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from almonddock_core.membership._messages import MembershipMessage
from almonddock_core.model import HostId, MembershipView


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Times and sizes; the cost of a host does not grow with the fleet."""

    #: One member is probed in each period.
    period: timedelta = timedelta(seconds=1) / 2
    #: After this time without an answer, other hosts are asked to probe.
    direct_timeout: timedelta = timedelta(seconds=1) / 2
    #: After this time without any answer, the member is suspected.
    probe_timeout: timedelta = timedelta(seconds=1)
    #: Hosts asked to probe a member that did not answer.
    helpers: int = 3
    #: Periods until a suspected member counts as dead, for each factor of
    #: ten in the number of hosts.
    suspicion_periods: int = 2
    #: Members in one message beside the sender.
    max_news: int = 6
    #: How often one item of news is sent, for each doubling of the hosts.
    news_repeats: int = 3
    #: Every so many probes go to a dead member that the host list names.
    dead_probe_interval: int = 4
    #: How long a dead member that the host list does not name is known.
    forget_after: timedelta = timedelta(minutes=2)
    #: A longer time between two ticks means that the host was paused.
    pause_limit: timedelta = timedelta(seconds=2)
    #: A starting host waits this long for the first answer.
    join_timeout: timedelta = timedelta(seconds=1)
    #: Hosts told at once that this host is leaving.
    leave_listeners: int = 16

    def compute_suspicion(self, hosts: int) -> timedelta:
        """Returns how long a member stays suspected among so many hosts."""
        factor = max(1, math.log10(max(1, hosts)))
        return self.period * self.suspicion_periods * factor

    def compute_repeats(self, hosts: int) -> int:
        """Returns how often an item of news is sent among so many hosts."""
        return self.news_repeats * math.ceil(math.log2(hosts + 1))


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a host; it may be lost."""

    host: HostId
    message: MembershipMessage


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The hosts, or what is believed of them, changed."""

    view: MembershipView


@dataclass(frozen=True, slots=True)
class Paused:
    """This host stood still; what it knew of others may be out of date."""

    gap: timedelta


MembershipAction: TypeAlias = Send | ViewChanged | Paused
