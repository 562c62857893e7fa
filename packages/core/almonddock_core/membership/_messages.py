"""What hosts send one another to know who is there."""

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
    #: The sender first, then what changed lately.
    news: tuple[Member, ...]
    #: Whether the sender wants to be told of every host.
    full: bool = False


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """Answers a probe, or tells that a probe made on request was answered."""

    number: int
    sender: HostId
    head: ConfigurationHead
    news: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks the receiver to probe a host that did not answer the sender."""

    number: int
    sender: HostId
    target: HostId
    head: ConfigurationHead
    news: tuple[Member, ...]


MembershipMessage: TypeAlias = Probe | ProbeReply | ProbeRequest
