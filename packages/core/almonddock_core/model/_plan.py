"""The pinned snapshot of a query, target loads, and sub-query results."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.model._identifiers import (
    DataCentreId,
    HostId,
    IndexVersion,
    ShardId,
    TargetId,
)
from almonddock_core.model._query import Reason, SubReply


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that holds a shard at the pinned version."""

    target: TargetId
    #: The host that dials the target; only it may be asked.
    owner: HostId
    data_centre: DataCentreId


@dataclass(frozen=True, slots=True)
class Plan:
    """One index version with its partition map, pinned for one query."""

    version: IndexVersion
    #: Every shard of the partition map, sorted by name.
    shards: tuple[ShardId, ...]
    #: The usable targets of each shard; a shard without any is absent.
    candidates: Mapping[ShardId, tuple[Candidate, ...]]
    #: Why a shard has no candidate.
    unavailable: Mapping[ShardId, Reason] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """The load of a target as its owner last reported it."""

    target: TargetId
    #: Sub-queries that wait in the owner's queue.
    queued: int = 0
    #: Sub-queries that run at the target.
    in_flight: int = 0
    #: Sub-queries that may run at a time now; below the target's slots while
    #: it warms up after a cold start.
    allowed: int = 1
    #: Smoothed service time; zero while nothing is known.
    service_time: timedelta = timedelta()
    #: Whether the target takes new work at all.
    open: bool = True


@dataclass(frozen=True, slots=True)
class ScatterResult:
    """What the sub-queries returned until all had ended or time was up."""

    #: The one reply counted for each answered shard.
    replies: Mapping[ShardId, SubReply]
    #: Why each other shard of the plan is missing.
    missing: Mapping[ShardId, Reason]
    #: Whether some try may have run although no reply says so.
    may_have_run: bool = False
    #: Tries sent beyond one for each shard.
    extra_tries: int = 0
    #: Shards whose targets no longer hold the pinned version.
    stale: tuple[ShardId, ...] = ()
