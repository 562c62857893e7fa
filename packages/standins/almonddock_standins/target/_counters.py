"""Counters of a stand-in target."""

from collections import Counter
from dataclasses import dataclass, field, fields


@dataclass(slots=True)
class Counters:
    """Counts since the start, read by tests and measurements."""

    #: Sub-queries that reached the target.
    received: int = 0
    #: Sub-queries that started to run.
    run: int = 0
    answered: int = 0
    refused: int = 0
    cancelled: int = 0
    #: Sub-queries that arrived while all slots were in use.
    over_slots: int = 0
    #: Sub-queries that arrived while all cold slots were in use.
    over_cold: int = 0
    #: Sub-queries that arrived while the target drained.
    after_drain: int = 0
    #: Arrival of the last of those, in seconds after the drain began.
    last_after_drain: float = 0
    #: Connections refused above the limit, and the most open at once.
    over_connections: int = 0
    most_connections: int = 0
    #: Runs of each ``request id/shard``.
    runs: Counter[str] = field(default_factory=Counter)

    def export(self) -> dict[str, object]:
        """Returns the counts for JSON; ``doubled`` holds repeated runs."""
        content = {one.name: getattr(self, one.name) for one in fields(self)}
        content['doubled'] = {
            name: count for name, count in self.runs.items() if count > 1
        }
        content.pop('runs')
        return content
