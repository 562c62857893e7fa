import unittest
from datetime import timedelta

from almonddock_core.idempotency import (
    CallLost,
    Claim,
    ClaimClient,
    FinalDecision,
    Finish,
    Grant,
    KeyDigest,
    LogAction,
    LogSettings,
    PartitionId,
    PartitionLog,
    Read,
    Recorded,
    Refuse,
    Repeat,
    SendClaim,
    SendFinish,
    Write,
)
from almonddock_core.model import HostId, Outcome, Reason, RequestId
from almonddock_core.tests.test_idempotency_schedules import FakeStore

KEY = KeyDigest('0' * 32)
SECOND = timedelta(seconds=1)
SETTINGS = LogSettings(outcome_linger=SECOND)


def make_claim(request_id: str, key: KeyDigest = KEY) -> Claim:
    return Claim(key, RequestId(request_id), 'f', 9999 * SECOND)


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.now = SECOND

    def make_log(
        self, writer: str, settings: LogSettings = SETTINGS
    ) -> PartitionLog:
        log = PartitionLog(PartitionId(0), writer, settings)
        self.drive(log, log.tick(self.now))
        return log

    def drive(
        self, log: PartitionLog, actions: list[LogAction]
    ) -> list[LogAction]:
        """Answers store calls immediately and returns the decisions."""
        decisions: list[LogAction] = []
        waiting = list(actions)
        while waiting:
            action = waiting.pop(0)
            if isinstance(action, (Read, Write)):
                reply = self.store.apply(action)
                waiting.extend(log.receive_reply(reply, self.now))
            else:
                decisions.append(action)
        return decisions

    def claim(self, log: PartitionLog, claim: Claim) -> list[LogAction]:
        return self.drive(log, log.claim(claim, self.now))

    def finish(self, log: PartitionLog, finish: Finish) -> None:
        self.drive(log, log.finish(finish, self.now))

    def test_does_not_write_an_outcome_after_a_later_start(self) -> None:
        """The release of a request must not free a later request's key.

        The first owner still holds the release when another owner has already
        written it and granted the key to the next request.
        """
        old = self.make_log('o')
        released = Finish(KEY, RequestId('1'), recorded=None)
        self.claim(old, make_claim('1'))
        self.finish(old, released)
        new = self.make_log('n')
        self.finish(new, released)
        self.assertEqual(
            self.claim(new, make_claim('2')), [Grant(make_claim('2'))]
        )
        self.now += 2 * SECOND
        self.drive(old, old.tick(self.now))
        third = self.make_log('t')
        refused = Refuse(
            make_claim('3'), Outcome.OUTCOME_UNKNOWN, Reason.NOT_RECORDED
        )
        self.assertEqual(self.claim(third, make_claim('3')), [refused])

    def test_resolves_a_lost_reply_by_reading(self) -> None:
        for applied in (True, False):
            with self.subTest(applied=applied):
                self.store = FakeStore()
                log = self.make_log('o')
                write = log.claim(make_claim('1'), self.now)[0]
                assert isinstance(write, Write)
                if applied:
                    self.store.apply(write)
                lost = log.receive_reply(CallLost(write.call_number), self.now)
                self.assertIsInstance(lost[0], Read)
                self.assertEqual(
                    self.drive(log, lost), [Grant(make_claim('1'))]
                )
                self.assertEqual(log.calls.writes, 1 + (not applied))

    def test_repeats_only_while_the_record_is_kept(self) -> None:
        """A small segment is sealed immediately and expires as a whole."""
        settings = LogSettings(
            segment_bytes=300,
            max_segments=3,
            max_answer_bytes=80,
            outcome_linger=timedelta(),
        )
        first = '1' * 40
        log = self.make_log('o', settings)
        recorded = Recorded(Outcome.ANSWERED, b'"' * 80)
        self.claim(log, make_claim(first))
        self.finish(log, Finish(KEY, RequestId(first), recorded))
        repeat = Repeat(make_claim('2'), recorded)
        self.assertEqual(self.claim(log, make_claim('2')), [repeat])
        self.now += settings.retention - SECOND
        other = KeyDigest('1' * 32)
        self.claim(log, make_claim('4', other))
        self.assertEqual(self.claim(log, make_claim('2')), [repeat])
        self.now += 2 * SECOND
        self.claim(log, make_claim('5', KeyDigest('2' * 32)))
        self.assertEqual(
            self.claim(log, make_claim('3')), [Grant(make_claim('3'))]
        )

    def test_records_only_the_outcome_of_a_large_answer(self) -> None:
        log = self.make_log('o', LogSettings(max_answer_bytes=3))
        self.claim(log, make_claim('1'))
        large = Recorded(Outcome.PARTIAL, b'1234')
        self.finish(log, Finish(KEY, RequestId('1'), large))
        self.assertEqual(
            self.claim(log, make_claim('2')),
            [Repeat(make_claim('2'), Recorded(Outcome.PARTIAL))],
        )

    def test_refuses_when_every_segment_is_full(self) -> None:
        settings = LogSettings(
            segment_bytes=200,
            max_segments=2,
            max_value_bytes=2000,
            max_answer_bytes=30,
        )
        log = self.make_log('o', settings)
        decisions = [
            self.claim(
                log, make_claim(f'{number}', KeyDigest(f'{number:032x}'))
            )[0]
            for number in range(40)
        ]
        last = decisions[-1]
        assert isinstance(last, Refuse)
        self.assertIs(last.outcome, Outcome.NOT_RUN)
        self.assertIs(last.reason, Reason.OVERLOADED)
        sizes = [len(entry.value) for entry in self.store.entries.values()]
        self.assertLess(max(sizes), 2000)


class ClientTest(unittest.TestCase):
    def test_decides_once_and_releases_a_late_grant(self) -> None:
        owner = HostId('o')
        claim = make_claim('1')
        release = SendFinish(Finish(KEY, RequestId('1'), None), owner)
        refused = FinalDecision(
            Refuse(claim, Outcome.NOT_RUN, Reason.STORE_UNAVAILABLE)
        )
        client = ClaimClient(lambda _key: owner)
        sent = client.claim(claim, SECOND)
        self.assertEqual(sent, [SendClaim(claim, owner)])
        self.assertEqual(client.handle_lost_owner(owner), sent)
        late = client.receive(Grant(claim), claim.deadline)
        self.assertEqual(late, [refused, release])
        self.assertEqual(
            client.receive(Grant(claim), claim.deadline), [release]
        )

    def test_uses_only_one_grant(self) -> None:
        claim = make_claim('1')
        client = ClaimClient(lambda _key: HostId('o'))
        client.claim(claim, SECOND)
        grant = Grant(claim)
        self.assertEqual(client.receive(grant, SECOND), [FinalDecision(grant)])
        self.assertEqual(client.receive(grant, SECOND), [])
        self.assertEqual(client.tick(claim.deadline), [])
