"""Scenario files as typed nodes; docs/scenarios.md shows the language."""

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
    service_time: timedelta


@dataclass(frozen=True, slots=True)
class Ask:
    """A query, or with ``every`` a stream of them until a time."""

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

    kind: str
    needs: tuple[Any, ...]
    line: int


@dataclass(slots=True)
class Scenario:
    seed: int = 1
    #: Hosts of each data centre.
    places: dict[str, tuple[str, ...]] = field(default_factory=dict)
    workloads: list[Workload] = field(default_factory=list)
    events: list[tuple[timedelta, Ask | Command]] = field(
        default_factory=list,
    )
    expectations: list[Command] = field(default_factory=list)


class _Builder(lark.Transformer[Any, Scenario]):
    """Builds nodes from the bottom up; methods are named by their rule."""

    def __init__(self) -> None:
        super().__init__()
        self.scenario = Scenario()

    def __default__(self, kind: Any, needs: list[Any], meta: Any) -> Command:
        return Command(str(kind), tuple(needs), meta.line)

    def start(self, _: list[Any]) -> Scenario:
        return self.scenario

    def seed(self, needs: list[float]) -> None:
        self.scenario.seed = int(needs[0])

    def place(self, names: list[str]) -> None:
        self.scenario.places[names[0]] = tuple(names[1:])

    def workload(self, needs: list[Any]) -> None:
        self.scenario.workloads.append(Workload(*needs))

    def timed(self, needs: list[Any]) -> None:
        self.scenario.events.append((needs[0], needs[1]))

    def expectation(self, needs: list[Command]) -> None:
        self.scenario.expectations.append(needs[0])

    def query(self, needs: list[Any]) -> Ask:
        return Ask(*needs[:2], **dict(needs[2:]))

    def load(self, needs: list[Any]) -> Ask:
        return Ask(*needs[:4], **dict(needs[4:]))

    def clause(self, needs: list[Any]) -> tuple[str, Any]:
        match needs:
            case ['non-idempotent']:
                return 'idempotent', False
            case ['from', host]:
                return 'entry', host
            case ['urgency', name]:
                return 'urgency', Urgency[name.upper()]
        return str(needs[0]), needs[1]

    def group(self, needs: list[str]) -> frozenset[str]:
        return frozenset(needs)

    def name(self, needs: list[Any]) -> str:
        return str(needs[0])

    def path(self, needs: list[Any]) -> str:
        return str(needs[0])

    def number(self, needs: list[Any]) -> float:
        found = float(needs[0])
        return int(found) if found.is_integer() else found

    def percent(self, needs: list[Any]) -> float:
        return float(needs[0]) / 100

    def span(self, needs: list[Any]) -> timedelta:
        scale = 1 if needs[1] == 's' else 1000
        return timedelta(seconds=float(needs[0]) / scale)


_PARSER = lark.Lark(
    GRAMMAR.read_text(),
    parser='lalr',
    propagate_positions=True,
    maybe_placeholders=True,
)


def parse_scenario(text: str) -> Scenario:
    """Returns the scenario; errors name the line and what was expected."""
    return _Builder().transform(_PARSER.parse(f'{text}\n'))
