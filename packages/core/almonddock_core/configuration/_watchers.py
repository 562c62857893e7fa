"""Which hosts watch the store, and which are told of a change."""

import random

import xxhash

from almonddock_core.model import (
    DataCentreId,
    HostId,
    MembershipView,
    MemberState,
)

#: Hosts of each data centre that watch the store.
WATCHERS = 2


def choose_watchers(
    view: MembershipView,
    data_centre: DataCentreId,
    count: int = WATCHERS,
) -> tuple[HostId, ...]:
    """Returns the hosts that watch the store for a data centre.

    Every host computes the same ones by rendezvous hashing; while views
    differ, a few more or fewer watch, which does no harm.
    """
    hosts = _list_hosts(view, data_centre)
    return tuple(sorted(hosts, key=_score, reverse=True)[:count])


def choose_listeners(
    view: MembershipView,
    data_centre: DataCentreId,
    counts: tuple[int, int],
    source: random.Random,
) -> tuple[HostId, ...]:
    """Returns random hosts near and far to tell of a change at once."""
    others = [
        member
        for host, member in view.members.items()
        if host != view.own and member.state is not MemberState.DEAD
    ]
    near = [one.host for one in others if one.data_centre == data_centre]
    far = [one.host for one in others if one.data_centre != data_centre]
    return (
        *source.sample(near, min(counts[0], len(near))),
        *source.sample(far, min(counts[1], len(far))),
    )


def _list_hosts(
    view: MembershipView,
    data_centre: DataCentreId,
) -> list[HostId]:
    return [
        member.host
        for member in view.list_owners()
        if member.data_centre == data_centre
    ]


def _score(host: HostId) -> int:
    return xxhash.xxh64_intdigest(f'store-watcher/{host}'.encode())
