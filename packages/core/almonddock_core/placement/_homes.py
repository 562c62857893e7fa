"""Which hosts ask the targets of a query for the others of their data centre.

Load: with more hosts than a target accepts connections, a host asks a target
once in many seconds. It knows nothing of the target, has to connect first, and
sends the requests of a whole query over its own link. So the shards of a query
are divided into groups, and each group has a home, a host that asks the targets
of the group for all others and merges their replies.
"""

import functools
import zlib
from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType

#: The most shards of a group, as long as there are not too many groups: few
#: enough that an answer can go out without those of one home.
SHARDS_PER_GROUP = 9

#: The most groups: each is a message of every query.
MAX_GROUPS = 16

#: The hosts of a group that may be its home: the second one is asked while the
#: first one can't be.
HOMES_PER_GROUP = 2


def count_groups(shards: int) -> int:
    """Returns the number of groups of a query over so many shards."""
    return min(MAX_GROUPS, -(-shards // SHARDS_PER_GROUP))


@functools.lru_cache(maxsize=MAX_GROUPS)
def assign_groups(shards: Sequence[str]) -> Mapping[str, int]:
    """Returns the group of each shard, the same on all hosts.

    ``shards`` are the services that a query asks, in any order.
    """
    groups = count_groups(len(shards))
    return MappingProxyType(
        {
            service: position * groups // len(shards)
            for position, service in enumerate(sorted(shards))
        }
    )


def choose_homes(groups: int, hosts: Iterable[str]) -> list[tuple[str, ...]]:
    """Returns the homes of each group, the preferred one first.

    The same on hosts that know the same hosts. No host is preferred by two
    groups as long as there are enough of them.
    """
    names = sorted(hosts)
    taken: set[str] = set()
    chosen = []
    for group in range(groups):
        ranked = sorted(names, key=functools.partial(_rank, group))
        free = [name for name in ranked if name not in taken] or ranked
        homes = free[:1]
        homes += [name for name in ranked if name not in homes]
        chosen.append(tuple(homes[:HOMES_PER_GROUP]))
        taken.update(homes[:1])
    return chosen


def _rank(group: int, name: str) -> int:
    return zlib.crc32(f'home {group} {name}'.encode())
