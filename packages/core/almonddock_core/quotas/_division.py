"""Divides an organisation's quota among hosts, in whole numbers.

A few hosts, the grantors, hold the quota itself and grant credits from it.
What may exceed the quota is divided among all hosts, which let requests in
with it before, or without, a grant.
"""

import math
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from almonddock_core.quotas._bucket import Allowance, limit_count
from almonddock_core.quotas._settings import QuotaSettings
from almonddock_core.routing import Quota

#: Absorbs the rounding error of a limit that is a whole number.
ROUNDING_TOLERANCE = 1e-9

#: The rate at which grantors regain credits, over that of the quota: some of
#: them may be away. The rest of their part may be granted at once.
RATE_HEADROOM = 1.25

#: The hosts that grant, over all data centres: enough that the loss of one
#: leaves most of a quota, few enough that each keeps a link to all of them.
GRANTORS = 6


@dataclass(frozen=True, slots=True)
class HostSet:
    """The hosts that share quotas, as one host knows them."""

    #: The names of all hosts, including the one that knows them.
    hosts: Sequence[str]
    #: Those that grant.
    grantors: Sequence[str]


@dataclass(frozen=True, slots=True)
class Division:
    """One host's part of a quota."""

    #: What it may grant, to itself and others; nothing if not a grantor.
    granted: Allowance
    #: How many of a grantor's part it may grant in the first window of its
    #: process, which does not know what an earlier one has granted.
    start: int
    #: What it may let in on its own, until that is covered by a grant.
    own: Allowance


def divide_quota(
    organisation: str,
    quota: Quota,
    host: str,
    known: HostSet,
    settings: QuotaSettings,
) -> Division:
    """Returns one host's part; the parts of all stay within the bound."""
    total = count_allowed(quota, settings)
    per_grantor = _count_per_grantor(
        quota, total, len(known.grantors), settings
    )
    granted = 0
    start = 0
    if host in known.grantors:
        start = min(per_grantor, _count_start(quota, total, known, settings))
        granted = per_grantor - start
        if not per_grantor and total < len(known.grantors):
            granted = int(_rank(organisation, host, known.grantors) < total)
    held = per_grantor * len(known.grantors)
    if not per_grantor:
        held = total
    spare, extra = divmod(total - held, len(known.hosts))
    if extra and _rank(organisation, host, known.hosts) < extra:
        spare += 1
    return Division(
        granted=limit_count(
            granted,
            _choose_burst(quota, granted, known, settings),
            settings.grant_window,
        ),
        start=start,
        own=limit_count(spare, math.ceil(spare / 2), settings.window),
    )


def count_allowed(quota: Quota, settings: QuotaSettings) -> int:
    """Returns how many requests may run in a window, over all hosts.

    At least one, so that a low limit without a slack is not zero.
    """
    limit = quota.rate * settings.window.total_seconds() + quota.burst
    allowed = limit * (1 + settings.overshoot) + settings.slack
    return max(1, math.floor(allowed + ROUNDING_TOLERANCE))


def _count_per_grantor(
    quota: Quota, total: int, grantors: int, settings: QuotaSettings
) -> int:
    owed = _count_owed(quota, settings)
    spare = max(0, total - owed)
    wanted = math.ceil((owed + spare / 2) / grantors)
    return min(wanted, total // grantors)


def _count_start(
    quota: Quota, total: int, known: HostSet, settings: QuotaSettings
) -> int:
    """Returns how many a grantor may grant in its first window.

    At most half of what grantors hold above the quota, rounded up. Does not
    grow where few are known: a host that has just started may not know all.
    """
    grantors = max(GRANTORS, len(known.grantors))
    per_grantor = _count_per_grantor(quota, total, grantors, settings)
    spare = max(0, per_grantor - _count_owed(quota, settings) / grantors)
    return min(math.ceil(spare / 2), math.floor(spare))


def _count_owed(quota: Quota, settings: QuotaSettings) -> float:
    """Returns the most that the quota itself grants within a window."""
    return quota.rate * settings.grant_window.total_seconds() + quota.burst


def _choose_burst(
    quota: Quota, granted: int, known: HostSet, settings: QuotaSettings
) -> float:
    """Returns how much of a grantor's part may be granted at once."""
    per_second = RATE_HEADROOM * quota.rate / len(known.grantors)
    regained = per_second * settings.grant_window.total_seconds()
    return max(granted + 1 - regained, quota.burst / len(known.grantors))


def _rank(organisation: str, host: str, hosts: Sequence[str]) -> int:
    """Returns a host's place, which differs between organisations.

    A host that comes or goes moves each other by at most one place.
    """
    own = _score(organisation, host)
    return sum(_score(organisation, other) < own for other in hosts)


def _score(organisation: str, host: str) -> tuple[int, str]:
    return zlib.crc32(f'{organisation} {host}'.encode()), host
