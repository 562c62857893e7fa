"""Runs one partition of the idempotency log against the store."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

from almonddock_core.idempotency import (
    CallLost,
    Claim,
    Decision,
    Finish,
    LogAction,
    PartitionLog,
    Read,
    ReadDone,
    StoreEntry,
    StoreReply,
    Write,
    WriteConflict,
    WriteDone,
)
from almonddock_core.model import Clock, StoreUnavailableError
from almonddock_core.store import Conflict, Swapped
from almonddock_daemon.adapters import StoreClient

#: How often a closing log checks whether it is idle, in seconds.
IDLE_POLL_S = 0.02

#: Receives the decision on a claim.
HandleDecision = Callable[[Decision], None]


class LogServer:
    """A :class:`PartitionLog` with its timer and its store calls."""

    def __init__(
        self,
        log: PartitionLog,
        store: StoreClient,
        clock: Clock,
        handle_decision: HandleDecision,
    ) -> None:
        self._log = log
        self._store = store
        self._clock = clock
        self._handle_decision = handle_decision
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._tick()

    def claim(self, claim: Claim) -> None:
        """Hands a claim to the log."""
        self._carry_out(self._log.claim(claim, self._clock.now()))

    def finish(self, finish: Finish) -> None:
        """Hands the outcome of a granted request to the log."""
        self._carry_out(self._log.finish(finish, self._clock.now()))

    async def close(self, timeout: timedelta) -> None:
        """Writes pending outcomes, waiting no longer than ``timeout``."""
        self._carry_out(self._log.close(self._clock.now()))
        latest = self._clock.now() + timeout
        while not self._log.is_idle and self._clock.now() < latest:
            await asyncio.sleep(IDLE_POLL_S)
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def _carry_out(self, actions: Iterable[LogAction]) -> None:
        for action in actions:
            if isinstance(action, (Read, Write)):
                task = asyncio.create_task(self._call(action))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            else:
                self._handle_decision(action)
        self._set_timer()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        wake = self._log.next_wake()
        if wake is not None:
            wait = max(wake - self._clock.now(), timedelta())
            self._timer = asyncio.get_running_loop().call_later(
                wait.total_seconds(),
                self._tick,
            )

    def _tick(self) -> None:
        self._carry_out(self._log.tick(self._clock.now()))

    async def _call(self, call: Read | Write) -> None:
        try:
            reply = await self._send(call)
        except StoreUnavailableError:
            reply = CallLost(call.call_number)
        actions = self._log.receive_reply(reply, self._clock.now())
        self._carry_out(actions)

    async def _send(self, call: Read | Write) -> StoreReply:
        if isinstance(call, Read):
            found = await self._store.read_all(call.prefix)
            return ReadDone(
                call.call_number,
                tuple(
                    StoreEntry(key, stored.value, stored.revision)
                    for key, stored in sorted(found.items())
                ),
            )
        swapped = await self._store.swap(
            call.key,
            call.value,
            call.expected or None,
        )
        if isinstance(swapped, Swapped):
            return WriteDone(call.call_number, swapped.revision)
        if isinstance(swapped, Conflict):
            return WriteConflict(call.call_number)
        return CallLost(call.call_number)
