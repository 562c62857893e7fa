import unittest
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from almonddock_core.idempotency import (
    CallLost,
    Claim,
    Finish,
    Grant,
    KeyDigest,
    LogAction,
    LogSettings,
    PartitionId,
    PartitionLog,
    Read,
    Refuse,
    Write,
)
from almonddock_core.model import Outcome, RequestId
from almonddock_core.tests.test_idempotency_schedules import FakeStore

OWNERS = st.integers(0, 1)
KEYS = st.sampled_from([KeyDigest(f'{number:032x}') for number in range(1)])
LONG_TIMEOUT = timedelta(minutes=4)


class TwoOwners(RuleBasedStateMachine):
    """Two hosts serve one partition; store replies are delayed or lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now = timedelta()
        self.store = FakeStore()
        self.calls: dict[int, list[Read | Write]] = {0: [], 1: []}
        self.delayed: list[Write] = []
        self.number = 0
        self.ran: list[KeyDigest] = []
        self.granted: set[RequestId] = set()
        self.refused: set[RequestId] = set()
        limits = LogSettings(
            claim_timeout=LONG_TIMEOUT,
            outcome_linger=timedelta(),
            min_backoff=timedelta(),
        )
        self.logs = [
            PartitionLog(PartitionId(0), f'w{owner}', limits)
            for owner in range(2)
        ]
        for owner in range(2):
            self.act(owner, self.logs[owner].tick(self.now))

    def act(self, owner: int, actions: list[LogAction]) -> None:
        for action in actions:
            if isinstance(action, (Read, Write)):
                self.calls[owner].append(action)
            elif isinstance(action, Grant):
                self.granted.add(action.claim.request_id)
                self.ran.append(action.claim.key)
            elif isinstance(action, Refuse):
                if action.outcome is Outcome.NOT_RUN:
                    self.refused.add(action.claim.request_id)

    @rule(owner=OWNERS, key=KEYS)
    def claim(self, owner: int, key: KeyDigest) -> None:
        self.number += 1
        claim = Claim(
            key, RequestId(f'{self.number}'), 'f', self.now + LONG_TIMEOUT
        )
        self.act(owner, self.logs[owner].claim(claim, self.now))

    @rule(owner=OWNERS, key=KEYS, request=st.integers(1, 9))
    def withdraw(self, owner: int, key: KeyDigest, request: int) -> None:
        """An entry host withdraws a request that was never granted."""
        request_id = RequestId(f'{request}')
        if request <= self.number and request_id not in self.granted:
            self.granted.discard(request_id)
            finish = Finish(key, request_id, recorded=None)
            self.act(owner, self.logs[owner].finish(finish, self.now))

    @rule(owner=OWNERS)
    def reply_all(self, owner: int) -> None:
        while self.calls[owner]:
            self.complete_call(owner, self.calls[owner].pop(0), 'done')

    @rule(
        owner=OWNERS,
        result=st.sampled_from(['done', 'done', 'done', 'lost', 'late']),
    )
    def reply(self, owner: int, result: str) -> None:
        if self.calls[owner]:
            self.complete_call(owner, self.calls[owner].pop(0), result)

    def complete_call(
        self, owner: int, call: Read | Write, result: str
    ) -> None:
        answer = CallLost(call.call_number)
        if result == 'late' and isinstance(call, Write):
            self.delayed.append(call)
        reply = self.store.apply(call) if result == 'done' else answer
        self.act(owner, self.logs[owner].receive_reply(reply, self.now))

    @rule()
    def apply_late(self) -> None:
        """A write that has timed out takes effect."""
        if self.delayed:
            self.store.apply(self.delayed.pop(0))

    @rule(owner=OWNERS, millis=st.sampled_from([1, 100, 2000]))
    def wait(self, owner: int, millis: int) -> None:
        self.now += timedelta(milliseconds=millis)
        self.act(owner, self.logs[owner].tick(self.now))

    @invariant()
    def runs_each_key_once(self) -> None:
        assert len(self.ran) == len(set(self.ran)), self.ran

    @invariant()
    def refused_requests_never_run(self) -> None:
        assert not self.granted & self.refused


class StatefulTest(unittest.TestCase):
    def test_two_owners_run_each_key_once(self) -> None:
        run_state_machine_as_test(
            TwoOwners,
            settings=settings(
                derandomize=True,
                deadline=None,
                max_examples=120,
                stateful_step_count=30,
            ),
        )
