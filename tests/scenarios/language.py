"""Parser of scenario files; docs/scenarios.md shows the language."""

import pathlib
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import lark

from almonddock_core.model import Urgency

GRAMMAR = pathlib.Path(__file__).with_name('grammar.lark')


@dataclass(frozen=True, slots=True)
class Workload:
    name: str
    services: int
    targets: int
    slots: int
    #: Median service time of its targets.
    service_time: timedelta


@dataclass(frozen=True, slots=True)
class QueryEvent:
    """A query, or with ``every`` a stream of queries ``until`` a time."""

    name: str
    workload: str
    every: timedelta | None = None
    until: timedelta | None = None
    deadline: timedelta = timedelta(milliseconds=300)
    idempotent: bool = True
    #: The entry host; the hosts take turns when it is absent.
    entry: str | None = None
    urgency: Urgency = Urgency.NORMAL
    coverage: float = 0


@dataclass(frozen=True, slots=True)
class Command:
    """A fault, a change by operators, or an expectation."""

    #: The grammar rule, by which the runner and the checks choose a method.
    kind: str
    arguments: tuple[Any, ...]
    line: int


@dataclass(slots=True)
class Scenario:
    seed: int = 1
    #: Host names by data centre.
    data_centres: dict[str, tuple[str, ...]] = field(default_factory=dict)
    workloads: list[Workload] = field(default_factory=list)
    events: list[tuple[timedelta, QueryEvent | Command]] = field(
        default_factory=list,
    )
    expectations: list[Command] = field(default_factory=list)


class _Builder(lark.Transformer[Any, Scenario]):
    """Builds nodes by methods named after rules; other rules are commands."""

    def __init__(self) -> None:
        super().__init__()
        self.scenario = Scenario()

    def __default__(
        self, kind: Any, arguments: list[Any], meta: Any
    ) -> Command:
        return Command(str(kind), tuple(arguments), meta.line)

    def start(self, _: list[Any]) -> Scenario:
        return self.scenario

    def seed(self, arguments: list[float]) -> None:
        self.scenario.seed = int(arguments[0])

    def data_centre(self, names: list[str]) -> None:
        self.scenario.data_centres[names[0]] = tuple(names[1:])

    def workload(self, arguments: list[Any]) -> None:
        self.scenario.workloads.append(Workload(*arguments))

    def timed(self, arguments: list[Any]) -> None:
        self.scenario.events.append((arguments[0], arguments[1]))

    def expectation(self, arguments: list[Command]) -> None:
        self.scenario.expectations.append(arguments[0])

    def query(self, arguments: list[Any]) -> QueryEvent:
        return QueryEvent(*arguments[:2], **dict(arguments[2:]))

    def load(self, arguments: list[Any]) -> QueryEvent:
        return QueryEvent(*arguments[:4], **dict(arguments[4:]))

    def clause(self, arguments: list[Any]) -> tuple[str, Any]:
        match arguments:
            case ['non-idempotent']:
                return 'idempotent', False
            case ['from', host]:
                return 'entry', host
            case ['urgency', name]:
                return 'urgency', Urgency[name.upper()]
        return str(arguments[0]), arguments[1]

    def group(self, arguments: list[str]) -> frozenset[str]:
        return frozenset(arguments)

    def name(self, arguments: list[Any]) -> str:
        return str(arguments[0])

    def path(self, arguments: list[Any]) -> str:
        return str(arguments[0])

    def number(self, arguments: list[Any]) -> float:
        found = float(arguments[0])
        return int(found) if found.is_integer() else found

    def percent(self, arguments: list[Any]) -> float:
        return float(arguments[0]) / 100

    def span(self, arguments: list[Any]) -> timedelta:
        scale = 1 if arguments[1] == 's' else 1000
        return timedelta(seconds=float(arguments[0]) / scale)


_PARSER = lark.Lark(
    GRAMMAR.read_text(),
    parser='lalr',
    propagate_positions=True,
    maybe_placeholders=True,
)


def parse_scenario(text: str) -> Scenario:
    """Returns the scenario; errors name the line and what was expected."""
    return _Builder().transform(_PARSER.parse(f'{text}\n'))
