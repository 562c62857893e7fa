"""Records of a run, as observed by callers and targets."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.routing import Route
from almonddock_platform.tests.standins import (
    Arrival,
    CallerAnswer,
    RestRefusal,
)
from soak.processes import MemoryPeak, ProcessEnd
from soak.schedule import FaultKind


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller and its outcome."""

    attempt_id: str
    path: str
    #: A digest of method, path and body.
    digest: str
    host: int
    #: The incarnation of the host's process when the request was sent.
    incarnation: int
    sent: timedelta
    deadline_ms: int
    ended: timedelta
    #: None if the connection ended or the caller left before an answer.
    answer: CallerAnswer | None
    #: Whether the caller closed the connection before an answer came.
    left: bool = False
    #: Whether bytes arrived that belong to no answer.
    surplus: bool = False


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """The time during which a fault was active."""

    kind: FaultKind
    subject: int
    start: timedelta
    end: timedelta


@dataclass(frozen=True, slots=True)
class Version:
    """A configuration version that was written to the store."""

    number: int
    #: When it was written to the store.
    written: timedelta
    routes: Sequence[Route]

    def find_route(self, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
        fitting = [one for one in self.routes if path.startswith(one.prefix)]
        return max(fitting, key=lambda one: len(one.prefix), default=None)


@dataclass(frozen=True, slots=True)
class OutOfService:
    """A time span in which a target or data centre should get no new work."""

    #: The id of the target or the name of the data centre.
    name: str
    since: timedelta
    #: When it was put back into service; None if it was not.
    until: timedelta | None = None


@dataclass(frozen=True, slots=True)
class ColdSpan:
    """A time span in which a target is cold and accepts a limited rate."""

    target: str
    start: timedelta
    end: timedelta
    #: The rate that the target states, in requests per second.
    per_second: float


@dataclass(frozen=True, slots=True)
class ReadinessSample:
    """Whether a host counted as ready at some time."""

    host: int
    at: timedelta
    ready: bool


@dataclass(frozen=True, slots=True)
class Evidence:
    """All records of a run that the checks read."""

    calls: Sequence[Call]
    arrivals: Sequence[Arrival]
    spans: Sequence[FaultSpan]
    versions: Sequence[Version]
    #: Targets that announced that they leave, or whose entry was removed.
    leaving: Sequence[OutOfService]
    #: Drained data centres.
    drained: Sequence[OutOfService]
    cold: Sequence[ColdSpan]
    #: Targets that said that they leave in their replies only.
    unlisted: Sequence[OutOfService]
    rest_refusals: Sequence[RestRefusal]
    #: Ordered by time.
    readiness: Sequence[ReadinessSample]
    #: The number of each host that got SIGTERM, with the time.
    stops: Sequence[tuple[int, timedelta]]
    ends: Sequence[ProcessEnd]
    #: The data centre of each target, by target id.
    target_data_centres: Mapping[str, str]
    #: Output on standard error, with the number of the host.
    errors: Sequence[tuple[int, str]]
    memory: Sequence[MemoryPeak]
    #: When the last fault ended.
    last_fault_end: timedelta
