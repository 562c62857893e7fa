"""What a stand-in target counts by itself."""

from collections import Counter
from dataclasses import dataclass, field, fields


@dataclass(slots=True)
class Counters:
    """Counts since the start, read by tests and measurements."""

    #: Sub-queries that reached the target.
    received: int = 0
    #: Sub-queries that began to run.
    run: int = 0
    answered: int = 0
    refused: int = 0
    cancelled: int = 0
    #: Sub-queries that came while all slots were in use.
    over_slots: int = 0
    #: Sub-queries above what the target bore in a cold start.
    over_cold: int = 0
    #: Sub-queries that came while the target drained.
    after_drain: int = 0
    #: When the last of those came, in seconds after the drain began.
    last_after_drain: float = 0
    #: Connections refused above the limit, and the most open at a time.
    over_connections: int = 0
    most_connections: int = 0
    #: Runs of each ``request id/shard``.
    runs: Counter[str] = field(default_factory=Counter)

    def export(self) -> dict[str, object]:
        """Returns the counts for JSON, with the doubled runs named."""
        content = {one.name: getattr(self, one.name) for one in fields(self)}
        content['doubled'] = {
            name: count for name, count in self.runs.items() if count > 1
        }
        content.pop('runs')
        return content
