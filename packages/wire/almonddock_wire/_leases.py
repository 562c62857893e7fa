"""Encodes and decodes the messages about leases on targets."""

from datetime import timedelta
from typing import Any

from almonddock_core.model import HostId, Incarnation, TargetId
from almonddock_core.owners import (
    Handover,
    Holder,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
)


def write_lease_request(
    frame: Any,
    request: LeaseRequest,
    now: timedelta,
) -> None:
    """Fills a frame with a request for leases."""
    message = frame.init('leaseRequest')
    message.holder = request.holder.host
    message.incarnation = request.holder.incarnation
    message.number = request.number
    message.hostList = request.host_list
    message.targets = list(request.targets)


def read_lease_request(message: Any, now: timedelta) -> LeaseRequest:
    """Returns the request for leases."""
    return LeaseRequest(
        holder=_read_holder(message),
        number=message.number,
        host_list=message.hostList,
        targets=_read_targets(message),
    )


def write_lease_reply(frame: Any, reply: LeaseReply, now: timedelta) -> None:
    """Fills a frame with the leases that a voter granted."""
    message = frame.init('leaseReply')
    message.voter = reply.voter
    message.number = reply.number
    message.targets = list(reply.granted)


def read_lease_reply(message: Any, now: timedelta) -> LeaseReply:
    """Returns the leases that a voter granted."""
    return LeaseReply(
        voter=HostId(message.voter),
        number=message.number,
        granted=_read_targets(message),
    )


def write_lease_release(
    frame: Any,
    release: LeaseRelease,
    now: timedelta,
) -> None:
    """Fills a frame with released leases."""
    message = frame.init('leaseRelease')
    message.holder = release.holder.host
    message.incarnation = release.holder.incarnation
    message.number = release.number
    message.targets = list(release.targets)


def read_lease_release(message: Any, now: timedelta) -> LeaseRelease:
    """Returns the released leases."""
    return LeaseRelease(
        holder=_read_holder(message),
        number=message.number,
        targets=_read_targets(message),
    )


def write_handover(frame: Any, handover: Handover, now: timedelta) -> None:
    """Fills a frame with a target's concurrency limit, for its next owner."""
    message = frame.init('handover')
    message.target = handover.target
    message.allowed = handover.allowed


def read_handover(message: Any, now: timedelta) -> Handover:
    """Returns a target's concurrency limit, sent by its previous owner."""
    return Handover(TargetId(message.target), message.allowed)


def _read_holder(message: Any) -> Holder:
    return Holder(HostId(message.holder), Incarnation(message.incarnation))


def _read_targets(message: Any) -> tuple[TargetId, ...]:
    return tuple(TargetId(one) for one in message.targets)
