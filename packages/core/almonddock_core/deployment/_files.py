"""The operators' JSON files, as pydantic data classes."""

from datetime import timedelta
from typing import Annotated, Literal

from pydantic import ConfigDict, Field, StringConstraints
from pydantic.dataclasses import dataclass

MAX_NAME_LENGTH = 80
MAX_DEADLINE_MS = 60_000
MAX_COUNT = 1_000_000

FILE_CONFIG = ConfigDict(extra='forbid', strict=True, allow_inf_nan=False)

Name = Annotated[
    str,
    StringConstraints(
        pattern='^[a-z0-9][a-z0-9.-]*$',
        max_length=MAX_NAME_LENGTH,
    ),
]
Address = Annotated[
    str,
    StringConstraints(pattern=r'^(\[[0-9a-f:]+\]|[0-9.]+):[0-9]{1,5}$'),
]
Count = Annotated[int, Field(ge=1, le=MAX_COUNT)]
DeadlineMs = Annotated[int, Field(ge=1, le=MAX_DEADLINE_MS)]


@dataclass(frozen=True, slots=True, config=FILE_CONFIG)
class MergeRule:
    """How the rows of the shards become one result."""

    kind: Literal['top_k', 'concatenate', 'sum', 'count'] = 'concatenate'
    #: The field ordered by (``top_k``) or added (``sum``); else absent.
    field: str | None = None
    #: The number of rows kept; only for ``top_k``.
    limit: Count | None = None


@dataclass(frozen=True, slots=True, config=FILE_CONFIG)
class TargetEntry:
    """One replica and its limits."""

    name: Name
    address: Address
    data_centre: Name
    #: Shard names, local to the service; all versions together.
    shards: Annotated[tuple[Name, ...], Field(min_length=1)]
    #: Requests the target runs at a time.
    slots: Count
    #: Connections the target accepts.
    connections: Count
    #: The time that a new connection takes, in milliseconds.
    connect_ms: Annotated[float, Field(ge=0, le=MAX_DEADLINE_MS)] = 0
    #: Requests at a time that the target can run in a cold start.
    cold_slots: Count = 1


@dataclass(frozen=True, slots=True, config=FILE_CONFIG)
class VersionEntry:
    """One index version and the partition map that belongs to it."""

    version: Annotated[int, Field(ge=0)]
    shards: Annotated[tuple[Name, ...], Field(min_length=1)]


@dataclass(frozen=True, slots=True, config=FILE_CONFIG)
class ServiceFile:
    """One service: the file kept beside the service's code."""

    service: Name
    workload: Name
    index_versions: Annotated[tuple[VersionEntry, ...], Field(min_length=1)]
    targets: Annotated[tuple[TargetEntry, ...], Field(min_length=1)]
    merge: MergeRule = MergeRule()
    #: The deadline of a query that states none, in milliseconds.
    deadline_ms: DeadlineMs = 300
    #: The longest deadline a query may state, in milliseconds.
    max_deadline_ms: DeadlineMs = 10_000
    urgency: Literal['urgent', 'normal', 'archive'] = 'normal'
    #: The value of an answered query when the caller states none.
    worth: Annotated[float, Field(gt=0)] = 1

    @property
    def deadline(self) -> timedelta:
        """The default deadline of a query."""
        return timedelta(milliseconds=self.deadline_ms)


@dataclass(frozen=True, slots=True, config=FILE_CONFIG)
class DataCentreEntry:
    """One data centre and whether it takes new work."""

    name: Name
    region: Name
    state: Literal['in', 'out'] = 'in'


@dataclass(frozen=True, slots=True, config=FILE_CONFIG)
class DataCentresFile:
    """All data centres: the file ``data-centres.json``."""

    data_centres: Annotated[tuple[DataCentreEntry, ...], Field(min_length=1)]
