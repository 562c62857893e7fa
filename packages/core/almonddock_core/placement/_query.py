"""Chooses the targets of a query's shards together.

Traffic between data centres is expensive, and the replies of one data centre
travel merged. Sub-queries that have to leave this data centre go to one other
data centre, unless its targets are much slower.
"""

from collections.abc import Sequence
from datetime import timedelta

from almonddock_core.placement._choice import TargetT, choose_target


class QueryPlacement:
    """Prefers each of the other data centres in turn."""

    def __init__(self, data_centre: str) -> None:
        """Takes the data centre of this host."""
        self._data_centre = data_centre
        self._rotations = 0

    def choose(
        self,
        shards: Sequence[Sequence[TargetT]],
        now: timedelta,
    ) -> list[TargetT | None]:
        """Returns a target for each shard, None for one without candidates.

        ``shards`` holds the candidates of each shard.
        """
        here = self._data_centre
        chosen = [choose_target(targets, here, now) for targets in shards]
        remote = [
            index
            for index, target in enumerate(chosen)
            if target is not None and target.entry.data_centre != here
        ]
        if len(remote) > 1:
            preferred = self._choose_remote([shards[index] for index in remote])
            for index in remote:
                chosen[index] = choose_target(
                    shards[index],
                    here,
                    now,
                    preferred,
                )
        return chosen

    def _choose_remote(self, shards: Sequence[Sequence[TargetT]]) -> str:
        data_centres = {
            target.entry.data_centre for targets in shards for target in targets
        }
        elsewhere = sorted(data_centres - {self._data_centre})
        self._rotations += 1
        return elsewhere[self._rotations % len(elsewhere)]
