"""Chooses the hosts that read the store's changes for the others."""

import zlib
from collections import defaultdict
from collections.abc import Iterable

#: Hosts of each data centre that read the store's changes: one more than are
#: needed, so that the others have a second one to ask.
WATCHERS_PER_DATA_CENTRE = 2


def choose_watchers(places: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Returns the watchers, the same on hosts that know the same hosts.

    ``places`` holds the name and the data centre of each host. A host that
    comes or goes changes at most one watcher of its data centre.
    """
    by_data_centre: dict[str, list[str]] = defaultdict(list)
    for name, data_centre in places:
        by_data_centre[data_centre].append(name)
    return frozenset(
        name
        for names in by_data_centre.values()
        for name in sorted(names, key=_rank)[:WATCHERS_PER_DATA_CENTRE]
    )


def _rank(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
