"""Chooses the targets of a query's shards together.

Load it answers: bytes between data centres are dear, and the replies of one
data centre travel merged. What has to leave this data centre goes to one
other data centre, as far as the targets there are good.
"""

from collections.abc import Sequence
from datetime import timedelta

from almonddock_core.placement._choice import TargetT, choose_target


class QueryPlacement:
    """Favours each of the other data centres in turn."""

    def __init__(self, data_centre: str) -> None:
        """Takes the data centre of this host."""
        self._here = data_centre
        self._turns = 0

    def choose(
        self,
        shards: Sequence[Sequence[TargetT]],
        now: timedelta,
    ) -> list[TargetT | None]:
        """Returns a target for each shard, None for one without candidates.

        ``shards`` holds the candidates of each shard.
        """
        here = self._here
        chosen = [choose_target(targets, here, now) for targets in shards]
        away = [
            index
            for index, target in enumerate(chosen)
            if target is not None and target.entry.data_centre != here
        ]
        if len(away) > 1:
            favoured = self._take_turn([shards[index] for index in away])
            for index in away:
                chosen[index] = choose_target(
                    shards[index],
                    here,
                    now,
                    favoured,
                )
        return chosen

    def _take_turn(self, shards: Sequence[Sequence[TargetT]]) -> str:
        places = {
            target.entry.data_centre for targets in shards for target in targets
        }
        elsewhere = sorted(places - {self._here})
        self._turns += 1
        return elsewhere[self._turns % len(elsewhere)]
