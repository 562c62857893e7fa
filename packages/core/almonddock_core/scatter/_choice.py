"""Choice of the replica that a try goes to."""

from collections.abc import Collection, Sequence
from datetime import timedelta

from almonddock_core.model import Candidate, HostId
from almonddock_core.scatter._settings import ScatterContext, ScatterSettings
from almonddock_core.scatter._shard import ShardState


def choose_candidate(
    shard: ShardState,
    now: timedelta,
    lost: Collection[HostId],
    settings: ScatterSettings,
    context: ScatterContext,
) -> Candidate | None:
    """Returns the target for the next try of a shard, None for no try.

    Of two random candidates it takes the one with the shorter expected
    wait, to which it adds how late tries there have been lately. A target
    that takes no new work is asked only when no other is
    left: its owner decides, because the load seen here may be stale. When
    every target has been tried and a hedge is late too, it is the target of
    the oldest try, which is to be cancelled.
    """
    if shard.tries >= settings.max_tries:
        return None
    untried = [
        one
        for one in shard.candidates
        if one.target not in shard.tried and one.owner not in lost
    ]
    usable = _prefer_open(untried, context)
    if shard.running:
        usable = _prefer_apart(usable, shard)
    if not usable:
        return _find_restart(shard, lost)
    if len(usable) == 1:
        return usable[0]
    return min(
        context.random.sample(usable, 2),
        key=lambda one: (
            estimate_wait(one, settings, context)
            + context.latencies.lateness(one.target, now)
        ),
    )


def estimate_wait(
    candidate: Candidate,
    settings: ScatterSettings,
    context: ScatterContext,
) -> timedelta:
    """Returns the time until a new try would start, network included."""
    load = context.loads.get(candidate.target)
    latencies = context.latencies
    network = latencies.network(candidate.target)
    ahead = latencies.count_sent(candidate.target, load)
    if load is None:
        return network + ahead * settings.default_service
    ahead += load.queued + load.in_flight
    service = load.service_time or settings.default_service
    return network + service * (ahead / max(load.allowed, 1))


def estimate_late(
    candidate: Candidate,
    settings: ScatterSettings,
    context: ScatterContext,
) -> timedelta:
    """Returns the time after which a new try is later than most."""
    served = context.latencies.quantile(candidate.target)
    served = served or settings.default_quantile
    wait = estimate_wait(candidate, settings, context)
    return wait + served * settings.quantile_factor


def _find_restart(
    shard: ShardState,
    lost: Collection[HostId],
) -> Candidate | None:
    """Returns where the oldest of several late tries can be run anew."""
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


def _prefer_apart(
    candidates: Sequence[Candidate],
    shard: ShardState,
) -> list[Candidate]:
    """Prefers another owner, then another data centre, than running tries."""
    owners = {one.candidate.owner for one in shard.running}
    places = {one.candidate.data_centre for one in shard.running}
    usable = list(candidates)
    usable = [one for one in usable if one.owner not in owners] or usable
    return [one for one in usable if one.data_centre not in places] or usable
