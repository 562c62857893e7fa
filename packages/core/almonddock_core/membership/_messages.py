"""Messages that hosts exchange to maintain the membership."""

from dataclasses import dataclass
from typing import TypeAlias

from almonddock_core.configuration import ConfigurationHead
from almonddock_core.model import HostId, Member


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks whether the receiver is alive; answered by ProbeReply."""

    number: int
    sender: HostId
    head: ConfigurationHead
    #: Membership updates: the sender, recent changes, then the receiver if it
    #: is known.
    news: tuple[Member, ...]
    #: Whether the reply must contain every member.
    full: bool = False


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Answers a probe, or relays the answer to an indirect probe."""

    number: int
    sender: HostId
    head: ConfigurationHead
    news: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks the receiver for an indirect probe of an unresponsive host."""

    number: int
    sender: HostId
    target: HostId
    head: ConfigurationHead
    news: tuple[Member, ...]


MembershipMessage: TypeAlias = Probe | ProbeReply | ProbeRequest
