"""Lease settings, messages between hosts and actions of the lease manager."""

from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from almonddock_core.model import HostId, Incarnation, TargetId


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """The durations of leases and the number of voters."""

    #: The duration of a lease, which also limits one try at a target.
    duration: timedelta = timedelta(seconds=2)
    #: The interval of renewals; well below the duration.
    renewal: timedelta = 9 * timedelta(seconds=1) / 10
    #: How much longer a voter keeps a grant, to allow for clock drift.
    drift: timedelta = timedelta(seconds=1) / 10
    #: The number of hosts that vote on a target.
    voters: int = 3
    #: How long the previous set of voters must also agree after a change, and
    #: how long an outdated host list is accepted.
    transition: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class Holder:
    """One incarnation of a host; after a restart it is another holder."""

    host: HostId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Asks a voter to grant or extend leases."""

    holder: Holder
    #: Grows with each message of the holder.
    number: int
    #: The digest of the host list that the holder uses.
    host_list: int
    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class LeaseReply:
    """The targets that the voter granted; it refused the others."""

    voter: HostId
    #: The number of the request.
    number: int
    granted: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """Releases leases; the holder has nothing running at the targets."""

    holder: Holder
    #: Grows with each message of the holder.
    number: int
    targets: tuple[TargetId, ...]


@dataclass(frozen=True, slots=True)
class Handover:
    """Tells the next owner the current concurrency limit of a target."""

    target: TargetId
    #: The most sub-queries that may run at a time.
    allowed: int


LeaseMessage: TypeAlias = LeaseRequest | LeaseReply | LeaseRelease | Handover


@dataclass(frozen=True, slots=True)
class SendToHost:
    """Send the message to another host of the tier; it may be lost."""

    host: HostId
    message: LeaseMessage


@dataclass(frozen=True, slots=True)
class Acquire:
    """Start to serve the target, at the limit handed over if any."""

    target: TargetId
    allowed: int | None = None


@dataclass(frozen=True, slots=True)
class Yield:
    """Stop new work for the target and call ``release`` once it is idle."""

    target: TargetId


LeaseAction: TypeAlias = SendToHost | Acquire | Yield
