"""Chooses the hosts that follow the store."""

import zlib
from collections import defaultdict
from collections.abc import Iterable

#: Hosts of each data centre that follow the store: one more than are needed,
#: so that the others have a second one to ask.
WATCHERS_PER_DATA_CENTRE = 2


def choose_watchers(places: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Returns the same hosts everywhere that the same hosts are known.

    ``places`` holds the name and the data centre of each host. A host that
    comes or goes changes at most one watcher of its data centre.
    """
    by_place: dict[str, list[str]] = defaultdict(list)
    for name, data_centre in places:
        by_place[data_centre].append(name)
    return frozenset(
        name
        for names in by_place.values()
        for name in sorted(names, key=_rank)[:WATCHERS_PER_DATA_CENTRE]
    )


def _rank(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
