"""Chooses the replica that a try is sent to."""

from collections.abc import Collection, Sequence
from datetime import timedelta

from almonddock_core.model import Candidate, HostId
from almonddock_core.scatter._settings import ScatterContext, ScatterSettings
from almonddock_core.scatter._shard import ShardState


def choose_candidate(
    shard: ShardState,
    now: timedelta,
    lost_owners: Collection[HostId],
    settings: ScatterSettings,
    context: ScatterContext,
) -> Candidate | None:
    """Returns the candidate for the next try of a shard, None to send none.

    Of two random candidates it chooses the one with the lower sum of expected
    wait and recent lateness. A target that its owner reports as closed is
    chosen only when no other is left: the owner decides whether to refuse,
    because the load known here may be stale. When no untried target is left
    and several tries are running, it returns the target of the oldest try,
    and the caller cancels that try.
    """
    if shard.tries >= settings.max_tries:
        return None
    untried = [
        one
        for one in shard.candidates
        if one.target not in shard.tried and one.owner not in lost_owners
    ]
    usable = _prefer_open(untried, context)
    if shard.running:
        usable = _prefer_other_owners(usable, shard)
    if not usable:
        return _find_oldest_running(shard, lost_owners)
    if len(usable) == 1:
        return usable[0]
    return min(
        context.random.sample(usable, 2),
        key=lambda one: (
            estimate_wait(one, settings, context)
            + context.latencies.estimate_lateness(one.target, now)
        ),
    )


def estimate_wait(
    candidate: Candidate,
    settings: ScatterSettings,
    context: ScatterContext,
) -> timedelta:
    """Returns the expected time until a target starts a new try.

    It includes the network time.
    """
    load = context.loads.get(candidate.target)
    latencies = context.latencies
    network = latencies.estimate_network_time(candidate.target)
    ahead = latencies.count_sent(candidate.target, load)
    if load is None:
        return network + ahead * settings.default_service
    ahead += load.queued + load.in_flight
    service = load.service_time or settings.default_service
    return network + service * (ahead / max(load.allowed, 1))


def estimate_hedge_delay(
    candidate: Candidate,
    settings: ScatterSettings,
    context: ScatterContext,
) -> timedelta:
    """Returns the time after which a new try is late and may be hedged."""
    served = context.latencies.estimate_quantile(candidate.target)
    served = served or settings.default_quantile
    wait = estimate_wait(candidate, settings, context)
    return wait + served * settings.quantile_factor


def _find_oldest_running(
    shard: ShardState,
    lost: Collection[HostId],
) -> Candidate | None:
    """Returns the candidate of the oldest of several running tries."""
    if len(shard.running) < 2:
        return None
    oldest = shard.running[0].candidate
    return None if oldest.owner in lost else oldest


def _prefer_open(
    candidates: list[Candidate],
    context: ScatterContext,
) -> list[Candidate]:
    is_open = [
        one
        for one in candidates
        if (load := context.loads.get(one.target)) is None or load.open
    ]
    return is_open or candidates


def _prefer_other_owners(
    candidates: Sequence[Candidate],
    shard: ShardState,
) -> list[Candidate]:
    """Prefers owners, then data centres, without a running try."""
    owners = {one.candidate.owner for one in shard.running}
    data_centres = {one.candidate.data_centre for one in shard.running}
    usable = list(candidates)
    usable = [one for one in usable if one.owner not in owners] or usable
    return [
        one for one in usable if one.data_centre not in data_centres
    ] or usable
