"""Leases on targets: settings and the messages between hosts."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from almonddock_core.model import HostId, Incarnation, TargetId


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """How long leases last and who grants them."""

    #: How long a grant lasts; also the longest run of one try at a target.
    duration: timedelta = timedelta(seconds=2)
    #: How often a holder renews; well below the duration.
    renewal: timedelta = 9 * timedelta(seconds=1) / 10
    #: How much longer a voter keeps a grant, for clocks of uneven rate.
    drift: timedelta = timedelta(seconds=1) / 10
    #: Hosts that vote on a target.
    voters: int = 3
    #: How long a changed set of voters must agree with the one before.
    settle: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class Holder:
    """One run of a host; a restarted host is another holder."""

    host: HostId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks a voter to grant leases, or to extend them."""

    holder: Holder
    #: Grows with each message of the holder.
    number: int
    #: Digest of the host list that the holder goes by.
    host_list: int
    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """What the voter granted; it has refused the other targets."""

    voter: HostId
    #: The number of the request.
    number: int
    granted: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """Gives leases back; the holder has nothing running at the targets."""

    holder: Holder
    #: Grows with each message of the holder.
    number: int
    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class Handover:
    """Tells the next owner how much a target bears now."""

    target: TargetId
    #: Sub-queries that may run at a time.
    allowed: int


GuardMessage: TypeAlias = LeaseRequest | LeaseReply | LeaseRelease | Handover


@dataclass(frozen=True, slots=True)
class SendToHost:
    """Send the message to another host of the tier; it may get lost."""

    host: HostId
    message: GuardMessage


@dataclass(frozen=True, slots=True)
class Acquire:
    """Start to serve the target, from an allowance if one was handed over."""

    target: TargetId
    allowed: int | None = None


@dataclass(frozen=True, slots=True)
class Yield:
    """Stop new work for the target, then call ``release`` once it is idle."""

    target: TargetId


GuardAction: TypeAlias = SendToHost | Acquire | Yield
