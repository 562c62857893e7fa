"""Answers to callers and the coverage they state.

A query pins one snapshot: an index version with the shards of its partition
map. All rows of its answer come from that version.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model._identifiers import (
    IndexVersion,
    RequestId,
    ShardId,
)
from almonddock_core.model._query import Reason


class Outcome(enum.Enum):
    """What the caller may conclude."""

    #: Every shard of the pinned snapshot answered.
    ANSWERED = 'answered'
    #: Some shards answered; the others are named in the coverage.
    PARTIAL = 'partial'
    #: Nothing was run; the caller may safely send the request again.
    NOT_RUN = 'not_run'
    #: The request may have run; sending it again may run it twice.
    OUTCOME_UNKNOWN = 'outcome_unknown'


@dataclass(frozen=True, slots=True, order=True)
class MissingShard:
    """A shard that the answer does not cover."""

    shard: ShardId
    reason: Reason


@dataclass(frozen=True, slots=True)
class Coverage:
    """How much of the pinned snapshot an answer covers."""

    #: Shards of the pinned partition map.
    total: int
    #: Shards whose rows are in the answer, each counted once.
    answered: int
    #: The other shards, sorted by name; ``total - answered`` of them.
    missing: tuple[MissingShard, ...] = ()

    def __post_init__(self) -> None:
        """Raises ValueError unless the counts agree."""
        if self.answered + len(self.missing) != self.total:
            raise ValueError(
                f'coverage counts {self.answered} answered and '
                f'{len(self.missing)} missing of {self.total} shards',
            )

    @property
    def share(self) -> float:
        """The share of shards answered, from 0 to 1."""
        return self.answered / self.total if self.total else 0


@dataclass(frozen=True, slots=True)
class Answer:
    """What the caller receives."""

    request_id: RequestId
    outcome: Outcome
    coverage: Coverage
    #: The version all rows come from; None when nothing was read.
    version: IndexVersion | None
    #: The merged rows as JSON text; an array, or a number for sums and
    #: counts.
    rows: bytes = b'[]'
    #: Why the answer is not complete; NONE for a complete one.
    reason: Reason = Reason.NONE
    #: From arrival at the entry host to this answer.
    elapsed: timedelta = timedelta()
    #: Tries sent beyond one for each shard.
    extra_tries: int = 0
