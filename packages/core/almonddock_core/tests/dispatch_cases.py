"""Routes, targets and replies for the tests of the dispatch."""

from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.dispatch import (
    Action,
    BudgetLimits,
    Cancel,
    Dispatch,
    DispatchContext,
    DispatchedRequest,
    Finish,
    ReplyKind,
    RetryBudget,
    Send,
    TargetReply,
)
from almonddock_core.placement import ColdStartLimiter
from almonddock_core.routing import (
    CallerLimits,
    Route,
    Service,
    TargetEntry,
    TargetState,
    TargetTable,
    WeightedService,
    build_routing_table,
)

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
LIMITS = CallerLimits(1000, 1000, SECOND, SECOND)
HERE = 'kyushu-a'
THERE = 'kyushu-b'

#: Large enough that tests of other things never reach the limit.
AMPLE_LIMITS = BudgetLimits(ratio=1, slack=1000, window=10 * SECOND)


def make_entry(
    target_id: str,
    service: str = 'desk',
    data_centre: str = HERE,
    state: TargetState = TargetState.READY,
    port: int = 80,
    started_ms: int | None = None,
) -> TargetEntry:
    """Returns an entry of a warm target with two slots."""
    return TargetEntry(
        target_id=target_id,
        service=service,
        host='10.0.0.1',
        port=port,
        data_centre=data_centre,
        slots=2,
        state=state,
        cold_for=timedelta(),
        started_ms=started_ms,
    )


def make_route(shards: int = 0, **changes: object) -> Route:
    """Returns a route to one service, or to shards ``desk-0`` and so on."""
    fields: dict[str, object] = {
        'name': 'route',
        'host': 'desk.example',
        'prefix': '/desk/',
        'idempotent': True,
        'timeout': SECOND,
        'latency_goal': 100 * MS,
        'max_attempts': 2,
        'priority': 1,
        'services': () if shards else (WeightedService('desk', 1),),
        'shards': tuple(f'desk-{number}' for number in range(shards)),
        'top_records': 2,
        'min_share': 0.75 if shards else 0,
        **changes,
    }
    return Route(**fields)  # type: ignore[arg-type]


def make_reply(
    kind: ReplyKind = ReplyKind.SUCCESS,
    body: bytes = b'x' * 16,
    status: int = 200,
) -> TargetReply:
    """Returns a reply with a stamp."""
    return TargetReply(kind, status, (), body, b'stamp')


@dataclass(slots=True)
class DispatchCase:
    """One request to targets whose replies the test sends."""

    route: Route
    limits: BudgetLimits = AMPLE_LIMITS
    deadline: timedelta = SECOND
    replicas: int = 2
    cold_rate: float = 0
    now: timedelta = timedelta()
    actions: list[Action] = field(default_factory=list)
    targets: TargetTable = field(default_factory=TargetTable)
    context: DispatchContext = field(init=False)
    dispatch: Dispatch = field(init=False)

    def __post_init__(self) -> None:
        """Adds the replicas of every service, the first one at ``HERE``."""
        for service in self.route.list_services():
            for number in range(self.replicas):
                place = HERE if number == 0 else THERE
                self.targets.put(
                    make_entry(f'{service}/{number}', service, place),
                    self.now,
                )
        self.context = DispatchContext(
            HERE,
            self.targets,
            RetryBudget(self.limits),
            ColdStartLimiter('kyu-1'),
        )
        self.context.table = build_routing_table(
            1,
            LIMITS,
            [
                Service(name, 10, self.cold_rate, 3 * SECOND)
                for name in self.route.list_services()
            ],
            [self.route],
        )

    def start(self) -> 'DispatchCase':
        """Starts the request."""
        self.dispatch = Dispatch(
            DispatchedRequest(
                'request-1',
                self.route,
                self.route.list_services(),
                self.now,
                self.now + self.deadline,
            ),
            self.context,
        )
        self.actions.extend(self.dispatch.start(self.now))
        return self

    def list_sent(self) -> list[str]:
        """Returns the targets that were asked, in order."""
        return [
            action.target.entry.target_id
            for action in self.actions
            if isinstance(action, Send)
        ]

    def list_cancelled(self) -> list[int]:
        """Returns the attempts that were cancelled."""
        return [
            action.attempt
            for action in self.actions
            if isinstance(action, Cancel)
        ]

    def count_answers(self) -> int:
        """Returns how many answers were given."""
        return sum(isinstance(action, Finish) for action in self.actions)

    def reply(self, attempt: int, reply: TargetReply | None = None) -> None:
        """Delivers a reply, a success if none is given."""
        self.actions.extend(
            self.dispatch.receive(attempt, reply or make_reply(), self.now),
        )

    def advance(self, until: timedelta) -> None:
        """Advances the time, with a tick whenever the dispatch is due."""
        while self.dispatch.answer is None and self.dispatch.wake_at <= until:
            self.now = self.dispatch.wake_at
            self.actions.extend(self.dispatch.tick(self.now))
            if self.now >= self.dispatch.timing.give_up_at:
                break
        self.now = until
