"""Cost of the leases on targets for one host, by the size of the fleet."""

import random
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.deployment import Deployment
from almonddock_core.model import HostId, Member, TargetId
from almonddock_core.owners import (
    Holder,
    LeaseManager,
    LeaseReply,
    LeaseRequest,
    LeaseSettings,
    SendToHost,
    place_targets,
)
from almonddock_wire import add_length_prefix, encode
from bench import Measurement, Subject, experiment, limit_value
from bench.capacity.fleet import SIZES, Size, build_fleet, build_members

SEED = 1
#: Hosts whose traffic is averaged.
SAMPLE = 40
NOW = timedelta(seconds=100)

#: The required limits per host of control: configuration, membership, leases
#: and placement together.
CONTROL_BYTES_S = 9000
CONTROL_PERCENT = 1.6


@dataclass(frozen=True, slots=True)
class _Fleet:
    """The configuration, members and placement given to a lease manager."""

    deployment: Deployment
    members: tuple[Member, ...]
    owners: Mapping[TargetId, HostId]


@experiment('leases')
def measure_leases() -> Iterator[Measurement]:
    """Bytes and processor time per second for the leases of one host."""
    for size in SIZES:
        yield from _measure_size(size)


def _measure_size(size: Size) -> Iterator[Measurement]:
    deployment = build_fleet(size)
    members = build_members(size)
    fleet = _Fleet(deployment, members, place_targets(deployment, members))
    rng = random.Random(SEED)
    sample = rng.sample(members, min(SAMPLE, len(members)))
    rounds = [_run_round(fleet, member) for member in sample]
    sent = sum(one for one, _ in rounds) / len(rounds)
    spent = sum(one for _, one in rounds) / len(rounds)
    renewals = timedelta(seconds=1) / LeaseSettings().renewal
    # Twice: on average a host answers as many requests as it sends, and each
    # message costs both its sender and its receiver.
    yield limit_value(
        Subject('leases.bytes', size.name, SEED),
        2 * sent * renewals,
        'bytes/s',
        bound=CONTROL_BYTES_S,
    )
    yield limit_value(
        Subject('leases.processor', size.name, SEED),
        2 * spent * renewals * 100,
        '% of a core',
        bound=CONTROL_PERCENT,
    )


def _run_round(fleet: _Fleet, member: Member) -> tuple[int, float]:
    """Returns the bytes and seconds of one renewal with its replies."""
    lease_manager = LeaseManager(
        Holder(member.host, member.incarnation),
        LeaseSettings(),
        NOW,
        random.Random(SEED),
    )
    lease_manager.update_view(
        fleet.deployment, fleet.members, fleet.owners, NOW
    )
    later = NOW + LeaseSettings().renewal
    started = time.process_time()
    sends = [
        action
        for action in lease_manager.tick(later)
        if isinstance(action, SendToHost)
    ]
    count = sum(_exchange(lease_manager, send, later) for send in sends)
    return count, time.process_time() - started


def _exchange(
    lease_manager: LeaseManager,
    send: SendToHost,
    now: timedelta,
) -> int:
    """Replies to a lease request; returns the bytes of both messages."""
    request = send.message
    if not isinstance(request, LeaseRequest):
        return 0
    reply = LeaseReply(send.host, request.number, request.targets)
    lease_manager.receive(send.host, reply, now)
    return sum(
        len(add_length_prefix(encode(message, now)))
        for message in (request, reply)
    )
