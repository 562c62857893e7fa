"""Organisations with quotas, and what their callers send."""

import itertools
import random
from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial

from almonddock_core.quotas import count_allowed
from almonddock_core.routing import Organisation, Quota
from almonddock_core.tests.quota_fleet import (
    SECOND,
    SETTINGS,
    Fleet,
    Request,
    find_worst_window,
)

#: A few organisations send most of the requests.
ORGANISATIONS = 81
SKEW = 1.2
#: Requests a second at each host, over all organisations.
RATE_PER_HOST = 0.8
#: A quota over what an organisation usually sends.
HEADROOM = 1.6
BURST_S = 1.0
MIN_BURST = 3.0

#: Hosts of a first start know each other by then.
START_S = 16
LENGTH_S = 24
#: How long an organisation sends a multiple of its usual, and the multiple.
HOT_S = 6.5
HOT_FACTOR = 7.5
HOT_AT_S = 6.0


@dataclass(frozen=True, slots=True)
class Sender:
    """The callers of one organisation."""

    name: str
    #: Requests a second, as usual.
    rate: float
    quota: Quota
    #: The hosts that its connections go to.
    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Sent:
    """One request, and whether it was within the limit."""

    organisation: str
    request: Request
    is_owed: bool


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one run shows."""

    #: The share served of what was owed, over all organisations.
    served: float
    #: The same for the organisations that were not hot.
    others: float
    #: The most by which a window exceeded its bound; 0 or less if none did.
    excess: int
    messages_per_request: float
    #: The share of requests that waited for another host.
    waited: float


def build_senders(
    hosts: Sequence[str], randomness: random.Random
) -> list[Sender]:
    """Returns organisations whose callers land on hosts unevenly."""
    shares = [(rank + 1) ** -SKEW for rank in range(ORGANISATIONS)]
    total = RATE_PER_HOST * len(hosts) / sum(shares)
    senders = []
    for rank, share in enumerate(shares):
        rate = total * share
        connections = randomness.choice((1, 2, len(hosts)))
        senders.append(
            Sender(
                f'o{rank}',
                rate,
                Quota(
                    HEADROOM * rate, max(MIN_BURST, BURST_S * HEADROOM * rate)
                ),
                tuple(randomness.choices(hosts, k=connections)),
            )
        )
    return senders


def run_load(hosts: int, seed: int, *, is_hot: bool, is_cut: bool) -> Outcome:
    """Runs a fleet under load; cuts one host in six off if asked to."""
    fleet = Fleet(hosts, seed, Quota(0, 0))
    names = list(fleet.processes)
    cut = set(fleet.random.sample(names, -(-hosts // 6))) if is_cut else set()
    reached = [name for name in names if name not in cut]
    senders = build_senders(reached, fleet.random)
    fleet.organisations = [
        Organisation(one.name, quota=one.quota) for one in senders
    ]
    for process in fleet.processes.values():
        process.quotas.update_quotas(fleet.organisations)
    hot = fleet.random.choice(senders[:10]).name if is_hot else ''
    fleet.at((START_S - 1) * SECOND, lambda: fleet.cut_from_store.update(cut))
    fleet.at((START_S - 1) * SECOND, lambda: fleet.cut_from_hosts.update(cut))
    sent: list[Sent] = []
    for sender in senders:
        _schedule(fleet, sender, sent, is_hot=sender.name == hot)
    fleet.run((START_S + LENGTH_S + 1) * SECOND)
    return _judge(fleet, senders, sent, hot)


def _schedule(
    fleet: Fleet, sender: Sender, sent: list[Sent], *, is_hot: bool
) -> None:
    tokens = sender.quota.burst
    before = START_S * SECOND
    for when in _draw_times(fleet.random, sender, is_hot=is_hot):
        regained = sender.quota.rate * (when - before).total_seconds()
        tokens = min(sender.quota.burst, tokens + regained)
        before = when
        is_owed = tokens >= 1
        tokens -= is_owed
        host = fleet.random.choice(sender.hosts)
        send = partial(_send, fleet, sender.name, host, sent, is_owed)
        fleet.at(when, send)


def _draw_times(
    randomness: random.Random, sender: Sender, *, is_hot: bool
) -> Iterator[timedelta]:
    at: float = 0
    while True:
        is_now = is_hot and 0 <= at - HOT_AT_S < HOT_S
        factor = HOT_FACTOR if is_now else 1
        rate = sender.rate * factor
        # So that a slow sender learns of its hot time.
        at += min(randomness.expovariate(rate), LENGTH_S)
        if at >= LENGTH_S:
            return
        yield (START_S + at) * SECOND


def _send(
    fleet: Fleet, name: str, host: str, sent: list[Sent], is_owed: bool
) -> None:
    request = fleet.request(host, name)
    if request is not None:
        sent.append(Sent(name, request, is_owed))


def _judge(
    fleet: Fleet, senders: Sequence[Sender], sent: Sequence[Sent], hot: str
) -> Outcome:
    owed: dict[str, int] = defaultdict(int)
    served: dict[str, int] = defaultdict(int)
    for one in sent:
        owed[one.organisation] += one.is_owed
        served[one.organisation] += fleet.answers[one.request]
    # Which of its requests are served is all one to an organisation that
    # sends more than it may.
    within = {name: min(owed[name], served[name]) for name in owed}
    others = [name for name in owed if name != hot]
    excesses = [
        find_worst_window(fleet.let_in[one.name], SETTINGS.window)
        - count_allowed(one.quota, SETTINGS)
        for one in senders
    ]
    return Outcome(
        served=sum(within.values()) / sum(owed.values()),
        others=sum(within[name] for name in others)
        / sum(owed[name] for name in others),
        excess=max(excesses),
        messages_per_request=fleet.messages / len(sent),
        waited=fleet.waited / len(sent),
    )


def run_seeds(
    hosts: int, seeds: int, *, is_hot: bool = False, is_cut: bool = False
) -> list[Outcome]:
    """Runs one load with several seeds."""
    return list(
        itertools.starmap(
            partial(run_load, is_hot=is_hot, is_cut=is_cut),
            ((hosts, seed) for seed in range(seeds)),
        )
    )
