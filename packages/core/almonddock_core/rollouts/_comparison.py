"""Tells a bad version from a good one by what both answered.

Load: a data centre is slow, the network loses answers, or targets pause: both
versions suffer. The new version is compared with the old one on the same
routes, at targets of the same data centre, in the same time.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from almonddock_core.rollouts._counts import (
    ServiceCounts,
    Tallies,
    Tally,
)

#: Fewer bad answers are no sign of a bad version.
MIN_BAD = 3

#: The new version is worse only with this many times the bad answers that the
#: old one would have had.
MIN_RATIO = 2

#: The chance of a verdict on a version that is as good as the old one, for
#: each comparison.
FAULT_CHANCE = 1e-4

#: The chance below which a roll-out waits for more answers.
DOUBT_CHANCE = 0.01

#: The shares of bad answers that a sound version is allowed at least.
MIN_FAILED_SHARE = 0.01
MIN_LATE_SHARE = 0.04

#: The weight of the route's share in that of one data centre, in answers.
ROUTE_WEIGHT = 4

#: Where the sum of a tail ends, relative to it.
NEGLIGIBLE = 1e-9

#: Answers of the old version, and the bad ones among them, that are added to
#: those counted: of few answers, none bad proves little.
FEW_ANSWERS = 20
PRIOR_BAD = 0.5


def find_fault(counts: ServiceCounts, max_chance: float = FAULT_CHANCE) -> str:
    """Returns why the new version is worse than the old; empty if it isn't.

    ``max_chance`` is the chance of a fault in a version as good as the old.
    """
    routes = {group.route for group in counts.tallies}
    for name, measure, least in (
        ('failures', _get_failed, MIN_FAILED_SHARE),
        ('late answers', _get_late, MIN_LATE_SHARE),
    ):
        if _compare(counts.tallies, routes, measure, least) < max_chance:
            return f'{name} on all routes'
        for route in sorted(routes):
            chance = _compare(counts.tallies, {route}, measure, least)
            if chance < max_chance:
                return f'{name} on route {route}'
    return ''


def _compare(
    tallies: Tallies,
    routes: Iterable[str],
    measure: Callable[[Tally], int],
    least: float,
) -> float:
    """Returns the chance of so many bad answers of a version as the old."""
    counted = [_count_bad(tallies, route, measure, least) for route in routes]
    observed = sum(bad for bad, _ in counted)
    expected = sum(allowed for _, allowed in counted)
    if observed < MIN_BAD or observed <= MIN_RATIO * expected:
        return 1
    return compute_tail(observed, expected)


def _count_bad(
    tallies: Tallies,
    route: str,
    measure: Callable[[Tally], int],
    least: float,
) -> tuple[int, float]:
    """Returns the new version's bad answers, and the old one's for as many."""
    new, old = _split(tallies, route)
    total = sum(old.values(), Tally())
    counted = (measure(total) + PRIOR_BAD) / (total.answered + FEW_ANSWERS)
    share = max(least, counted)
    expected = [
        tally.answered * _find_share(old[data_centre], measure, share)
        for data_centre, tally in new.items()
    ]
    return sum(map(measure, new.values())), sum(expected)


def _find_share(
    old: Tally, measure: Callable[[Tally], int], route_share: float
) -> float:
    """Returns the share of bad answers in one data centre."""
    bad = measure(old) + ROUTE_WEIGHT * route_share
    return max(route_share, bad / (old.answered + ROUTE_WEIGHT))


def compute_tail(observed: int, expected: float) -> float:
    """Returns the chance of so many events or more, if they are independent."""
    log_term = -expected + observed * math.log(expected)
    term = math.exp(log_term - math.lgamma(observed + 1))
    chance = term
    count = observed
    while term > chance * NEGLIGIBLE:
        count += 1
        term *= expected / count
        chance += term
    return chance


def _split(
    tallies: Tallies, route: str
) -> tuple[Mapping[str, Tally], defaultdict[str, Tally]]:
    """Returns the tallies of the new and the old version by data centre."""
    new: defaultdict[str, Tally] = defaultdict(Tally)
    old: defaultdict[str, Tally] = defaultdict(Tally)
    for group, tally in tallies.items():
        if group.route == route:
            side = new if group.is_new else old
            side[group.data_centre] += tally
    return new, old


def _get_failed(tally: Tally) -> int:
    return tally.failed


def _get_late(tally: Tally) -> int:
    return tally.late
