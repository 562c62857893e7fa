"""Chooses the hosts that watch the store and that receive announcements."""

import random

import xxhash

from almonddock_core.model import (
    DataCentreId,
    HostId,
    MembershipView,
    MemberState,
)

#: The number of hosts in each data centre that watch the store.
WATCHERS = 2


def choose_watchers(
    view: MembershipView,
    data_centre: DataCentreId,
    count: int = WATCHERS,
) -> tuple[HostId, ...]:
    """Returns the hosts that watch the store for a data centre.

    Rendezvous hashing gives the same result on every host. While views
    differ, a few more or fewer hosts watch, which is harmless.
    """
    hosts = _list_hosts(view, data_centre)
    return tuple(sorted(hosts, key=_score, reverse=True)[:count])


def choose_announce_hosts(
    view: MembershipView,
    data_centre: DataCentreId,
    counts: tuple[int, int],
    rng: random.Random,
) -> tuple[HostId, ...]:
    """Returns random hosts to announce a change to.

    ``counts`` holds the numbers of hosts in this data centre and in others.
    """
    others = [
        member
        for host, member in view.members.items()
        if host != view.own and member.state is not MemberState.DEAD
    ]
    local = [
        member.host for member in others if member.data_centre == data_centre
    ]
    remote = [
        member.host for member in others if member.data_centre != data_centre
    ]
    return (
        *rng.sample(local, min(counts[0], len(local))),
        *rng.sample(remote, min(counts[1], len(remote))),
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
