"""Runs the scatters of this host over links to the owners of targets.

A scatter sends the sub-queries of one query and collects the replies.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta

from almonddock_core.model import (
    AttemptId,
    Clock,
    HostId,
    IndexVersion,
    Plan,
    Query,
    Reason,
    ReplyStatus,
    RequestId,
    ScatterResult,
    SubQuery,
    SubReply,
    TargetId,
    TargetLoad,
)
from almonddock_core.scatter import (
    AttemptBudget,
    Cancel,
    Finish,
    LatencyTable,
    Scatter,
    ScatterAction,
    ScatterContext,
    ScatterSettings,
    Send,
)
from almonddock_daemon.adapters import build_reply
from almonddock_wire import CancelBatch, SubQueryBatch, SubReplyBatch

#: Sends a message to an owner; returns False when no link is open.
SendMessage = Callable[[HostId, SubQueryBatch | CancelBatch], bool]

#: Opens a link to an owner; returns whether one is open.
Connect = Callable[[HostId], Awaitable[bool]]

#: Receives a reply and the index version that its query pinned.
ObserveReply = Callable[[SubReply, IndexVersion], None]

#: How long a target counts as closed after its owner reported so.
CLOSED_LOAD_TTL_S = 0.5


class _RunningScatter:
    """A scatter, the future of its result and its timer."""

    def __init__(self, scatter: Scatter, version: IndexVersion) -> None:
        self.scatter = scatter
        #: The pinned version.
        self.version = version
        self.done: asyncio.Future[ScatterResult] = (
            asyncio.get_running_loop().create_future()
        )
        self.timer: asyncio.TimerHandle | None = None

    def stop_timer(self) -> None:
        """Cancels the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class ScatterController:
    """Owns the running scatters and the loads that owners report."""

    def __init__(
        self,
        settings: ScatterSettings,
        clock: Clock,
        source: random.Random,
        send: SendMessage,
        connect: Connect,
        observe: ObserveReply,
    ) -> None:
        self._settings = settings
        self._observe = observe
        self._clock = clock
        self._send = send
        self._connect = connect
        self._running: dict[RequestId, _RunningScatter] = {}
        self._loads: dict[TargetId, TargetLoad] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._context = ScatterContext(
            budget=AttemptBudget(settings.budget),
            loads=self._loads,
            random=source,
            latencies=LatencyTable(),
        )

    @property
    def count(self) -> int:
        """Scatters that have no result yet."""
        return len(self._running)

    async def run(
        self,
        query: Query,
        plan: Plan,
        first_attempt: int = 0,
    ) -> ScatterResult:
        """Returns the result, at the latest at the query's deadline.

        ``first_attempt`` numbers the first attempt; a second run of a query
        starts higher, so that each attempt has an id of its own.
        """
        scatter = Scatter(
            query,
            plan,
            self._settings,
            self._context,
            first_attempt=first_attempt,
        )
        running = _RunningScatter(scatter, plan.version)
        self._running[query.request_id] = running
        try:
            self._carry_out(running, scatter.start(self._clock.now()))
            return await running.done
        finally:
            self._abandon_unfinished(running)
            self._running.pop(query.request_id, None)

    def receive(self, batch: SubReplyBatch) -> None:
        """Hands each reply to its scatter and stores the loads."""
        for load in batch.loads:
            self._keep_load(load)
        now = self._clock.now()
        for reply in batch.replies:
            running = self._running.get(reply.request_id)
            if running is not None:
                self._observe(reply, running.version)
                actions = running.scatter.receive(reply, now)
                self._carry_out(running, actions)

    def handle_lost_owner(self, host: HostId) -> None:
        """Reports to every scatter that the link to an owner closed."""
        now = self._clock.now()
        for running in list(self._running.values()):
            actions = running.scatter.handle_lost_owner(host, now)
            self._carry_out(running, actions)

    def _keep_load(self, load: TargetLoad) -> None:
        """Stores a load; that of a closed target expires.

        A target that receives no sub-queries reports no new load, so its
        load must expire before the target can be used again.
        """
        self._loads[load.target] = load
        if not load.open:
            asyncio.get_running_loop().call_later(
                CLOSED_LOAD_TTL_S,
                self._expire_load,
                load,
            )

    def _expire_load(self, load: TargetLoad) -> None:
        if self._loads.get(load.target) is load:
            self._loads.pop(load.target)

    def _abandon_unfinished(self, running: _RunningScatter) -> None:
        """Cancels what still runs if the caller disconnected early."""
        if not running.done.done():
            now = self._clock.now()
            self._carry_out(running, running.scatter.abandon(now))
        running.stop_timer()

    def _carry_out(
        self,
        running: _RunningScatter,
        actions: Iterable[ScatterAction],
    ) -> None:
        sends: dict[HostId, list[SubQuery]] = defaultdict(list)
        cancels: dict[HostId, list[AttemptId]] = defaultdict(list)
        for action in actions:
            match action:
                case Send(sub, owner):
                    sends[owner].append(sub)
                case Cancel(attempt_id, owner):
                    cancels[owner].append(attempt_id)
                case Finish(result):
                    _finish(running, result)
        for owner, subs in sends.items():
            self._send_batch(running, owner, SubQueryBatch(tuple(subs)))
        for owner, attempts in cancels.items():
            self._send(owner, CancelBatch(tuple(attempts)))
        self._set_timer(running)

    def _send_batch(
        self,
        running: _RunningScatter,
        owner: HostId,
        batch: SubQueryBatch,
    ) -> None:
        if not self._send(owner, batch):
            task = asyncio.create_task(
                self._connect_and_send(running, owner, batch),
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(
        self,
        running: _RunningScatter,
        owner: HostId,
        batch: SubQueryBatch,
    ) -> None:
        connected = await self._connect(owner)
        if not connected or not self._send(owner, batch):
            self._fail_unsent(running, batch)

    def _fail_unsent(
        self, running: _RunningScatter, batch: SubQueryBatch
    ) -> None:
        """Reports the sub-queries of an unsent batch as not run."""
        now = self._clock.now()
        for sub in batch.sub_queries:
            reply = build_reply(
                sub,
                ReplyStatus.NOT_RUN,
                Reason.OWNER_UNREACHABLE,
            )
            self._carry_out(running, running.scatter.receive(reply, now))

    def _set_timer(self, running: _RunningScatter) -> None:
        running.stop_timer()
        wake = running.scatter.next_wake()
        if running.done.done() or wake is None:
            return
        wait = max(timedelta(), wake - self._clock.now())
        running.timer = asyncio.get_running_loop().call_later(
            wait.total_seconds(),
            self._tick,
            running,
        )

    def _tick(self, running: _RunningScatter) -> None:
        running.timer = None
        self._carry_out(running, running.scatter.tick(self._clock.now()))


def _finish(running: _RunningScatter, result: ScatterResult) -> None:
    if not running.done.done():
        running.done.set_result(result)
