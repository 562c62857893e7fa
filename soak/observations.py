"""What a run has shown, as callers and targets saw it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.routing import Route
from almonddock_platform.tests.standins import Arrival, CallerAnswer
from soak.processes import ProcessEnd
from soak.schedule import FaultKind


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller, from its sending to its end."""

    attempt_id: str
    path: str
    #: A digest of method, path and body.
    digest: str
    host: int
    #: The number of the process that the host ran as.
    lifetime: int
    sent: timedelta
    deadline_ms: int
    ended: timedelta
    #: None if the connection ended or the caller left without an answer.
    answer: CallerAnswer | None
    #: Whether the caller closed the connection before an answer came.
    left: bool = False
    #: Bytes that came without a request, or after the answer.
    surplus: bool = False


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """A fault while it lasted."""

    kind: FaultKind
    subject: int
    start: timedelta
    end: timedelta


@dataclass(frozen=True, slots=True)
class Version:
    """A configuration that was written to the store."""

    number: int
    #: When the store held it.
    written: timedelta
    routes: Sequence[Route]

    def find_route(self, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path."""
        fitting = [one for one in self.routes if path.startswith(one.prefix)]
        return max(fitting, key=lambda one: len(one.prefix), default=None)


@dataclass(frozen=True, slots=True)
class OutOfService:
    """A time in which something was to get no new work."""

    #: The target or the data centre.
    name: str
    since: timedelta
    #: When it was opened again; None if it was not.
    until: timedelta | None = None


@dataclass(frozen=True, slots=True)
class ColdSpan:
    """A time in which a target bore little."""

    target: str
    start: timedelta
    end: timedelta
    per_second: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """Everything that the promises are checked against."""

    calls: Sequence[Call]
    arrivals: Sequence[Arrival]
    spans: Sequence[FaultSpan]
    versions: Sequence[Version]
    #: Targets that said that they leave, or whose entry went.
    leaving: Sequence[OutOfService]
    #: Data centres that were taken out.
    drained: Sequence[OutOfService]
    cold: Sequence[ColdSpan]
    #: Hosts that were asked to stop, by number, with the time.
    stops: Sequence[tuple[int, timedelta]]
    ends: Sequence[ProcessEnd]
    #: The data centre of each target.
    places: Mapping[str, str]
    #: What hosts wrote to standard error, by number.
    errors: Mapping[int, str]
    #: The largest memory of a host, in bytes.
    memory: int
    #: When the last fault had ended.
    calm_since: timedelta
