import unittest

from almonddock_core.model import (
    AttemptId,
    LoadReport,
    Reason,
    ReplyStatus,
    Urgency,
)
from almonddock_core.owners import (
    CancelAtTarget,
    Dispatch,
    OwnedTarget,
    OwnerAction,
    OwnerSettings,
    Reply,
)
from almonddock_core.tests.owner_cases import (
    START,
    make_reply,
    make_sub,
    make_target,
    millis,
)


def list_sent(actions: list[OwnerAction]) -> list[str]:
    return [
        action.sub.attempt_id.partition(':')[0].removeprefix('request-')
        for action in actions
        if isinstance(action, Dispatch)
    ]


def list_refused(actions: list[OwnerAction]) -> list[tuple[str, Reason]]:
    return [
        (action.reply.request_id.removeprefix('request-'), action.reply.reason)
        for action in actions
        if isinstance(action, Reply)
        and action.reply.status is ReplyStatus.NOT_RUN
    ]


class OwnedTargetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.owned = self.make_owned()

    def make_owned(self, *, taken_over: bool = False) -> OwnedTarget:
        return OwnedTarget(
            make_target(),
            OwnerSettings(),
            START,
            taken_over=taken_over,
        )

    def warm_up(self) -> None:
        for number in range(1000, 1010):
            sub = make_sub(number)
            self.owned.offer(sub, START)
            self.owned.receive_reply(make_reply(sub), START + millis(10))
        self.assertEqual(self.owned.measure(START).allowed, 3)

    def test_a_cold_target_starts_at_its_limit_then_grows(self) -> None:
        subs = [make_sub(number) for number in range(8)]
        sent = [list_sent(self.owned.offer(sub, START)) for sub in subs]
        self.assertEqual(sent, [['0'], [], [], [], [], [], [], []])
        cases = (
            (0, ['1', '2']),
            (1, ['3']),
            (2, ['4', '5']),
        )
        for number, expected in cases:
            now = START + millis(10 * number + 10)
            actions = self.owned.receive_reply(make_reply(subs[number]), now)
            self.assertEqual(list_sent(actions), expected)

    def test_signs_of_overload_reduce_the_limit(self) -> None:
        cases = (
            (ReplyStatus.OK, Reason.NONE, LoadReport(cold=True), 1),
            (ReplyStatus.NOT_RUN, Reason.COLD, LoadReport(), 1),
            (ReplyStatus.NOT_RUN, Reason.OVERLOADED, LoadReport(), 1),
            (ReplyStatus.OK, Reason.NONE, LoadReport(), 3),
        )
        for status, reason, load_report, expected in cases:
            with self.subTest(reason=reason, load_report=load_report):
                self.owned = self.make_owned()
                self.warm_up()
                sub = make_sub(1)
                self.owned.offer(sub, START)
                now = START + millis(10)
                self.owned.receive_reply(
                    make_reply(sub, status, reason, load_report), now
                )
                self.assertEqual(self.owned.measure(now).allowed, expected)

    def test_finds_a_cold_target_by_its_latency(self) -> None:
        self.warm_up()
        allowed = []
        for number in range(4):
            sub = make_sub(number, deadline_ms=5000)
            self.owned.offer(sub, START)
            self.owned.receive_reply(make_reply(sub), START + millis(100))
            allowed.append(self.owned.measure(START).allowed)
        self.assertEqual(allowed, [3, 3, 1, 1])

    def test_the_same_try_offered_twice_takes_one_slot(self) -> None:
        subs = [make_sub(0), make_sub(1)]
        for sub in (*subs, *subs):
            self.owned.offer(sub, START)
        load = self.owned.measure(START)
        self.assertEqual((load.in_flight, load.queued), (1, 1))
        for sub in (*subs, *subs):
            self.owned.receive_reply(make_reply(sub), START + millis(10))
        load = self.owned.measure(START)
        self.assertEqual((load.in_flight, load.queued), (0, 0))

    def test_order_is_urgency_then_deadline_then_worth(self) -> None:
        self.owned.offer(make_sub(0), START)
        self.owned.offer(make_sub(1, 900, Urgency.ARCHIVE, 50), START)
        self.owned.offer(make_sub(2, 900), START)
        self.owned.offer(make_sub(3, 800), START)
        self.owned.offer(make_sub(4, 900, worth=2), START)
        self.owned.offer(make_sub(5, 950, Urgency.URGENT), START)
        sent: list[str] = []
        done = make_sub(0)
        while True:
            actions = self.owned.receive_reply(
                make_reply(done, load_report=LoadReport(cold=True)),
                START + millis(1),
            )
            if not list_sent(actions):
                break
            sent += list_sent(actions)
            done = make_sub(int(sent[-1]))
        self.assertEqual(sent, ['5', '3', '4', '2', '1'])

    def test_refuses_what_cannot_finish_and_keeps_the_worthier(self) -> None:
        self.warm_up()
        for number in range(3):
            self.owned.offer(make_sub(number), START)
        actions = self.owned.offer(make_sub(3, deadline_ms=5), START)
        self.assertEqual(list_refused(actions), [('3', Reason.TIMED_OUT)])
        refused = []
        for number in range(4, 13):
            worth = 10 if number == 12 else 1 + number / 100
            sub = make_sub(number, deadline_ms=25, worth=worth)
            refused += list_refused(self.owned.offer(sub, START))
        self.assertEqual(
            refused,
            [(str(number), Reason.OVERLOADED) for number in range(4, 9)],
        )

    def test_cancel_frees_the_queue_at_once_and_a_slot_when_ended(
        self,
    ) -> None:
        running, waiting, third = (make_sub(number) for number in range(3))
        for sub in (running, waiting, third):
            self.owned.offer(sub, START)
        self.assertEqual(
            list_refused(self.owned.cancel(waiting.attempt_id, START)),
            [('1', Reason.CANCELLED)],
        )
        self.assertEqual(
            self.owned.cancel(running.attempt_id, START),
            [CancelAtTarget(running.attempt_id)],
        )
        self.assertEqual(self.owned.cancel(running.attempt_id, START), [])
        self.assertEqual(self.owned.cancel(AttemptId('x'), START), [])
        self.assertEqual(self.owned.measure(START).in_flight, 1)
        stopped = make_reply(running, ReplyStatus.FAILED, Reason.CANCELLED)
        self.assertEqual(
            list_sent(self.owned.receive_reply(stopped, START)), ['2']
        )

    def test_an_unknown_outcome_keeps_the_slot_until_its_deadline(
        self,
    ) -> None:
        self.owned.offer(make_sub(0), START)
        self.owned.offer(make_sub(1, deadline_ms=900), START)
        lost = make_reply(
            make_sub(0),
            ReplyStatus.UNKNOWN,
            Reason.TARGET_UNREACHABLE,
        )
        actions = self.owned.receive_reply(lost, START + millis(20))
        self.assertEqual(list_sent(actions), [])
        self.assertEqual(len(actions), 1)
        for at, expected in ((300, []), (349, []), (350, ['1'])):
            actions = self.owned.tick(START + millis(at))
            self.assertEqual(list_sent(actions), expected)

    def test_a_try_without_a_reply_is_answered_at_the_deadline(self) -> None:
        sub = make_sub(0)
        self.owned.offer(sub, START)
        wake = self.owned.next_wake(START)
        self.assertEqual(wake, sub.deadline)
        reply, cancel = self.owned.tick(sub.deadline)
        self.assertIsInstance(reply, Reply)
        self.assertEqual(cancel, CancelAtTarget(sub.attempt_id))
        self.assertEqual(
            self.owned.receive_reply(make_reply(sub), sub.deadline), []
        )

    def test_replies_to_unknown_tries_are_dropped(self) -> None:
        self.owned.offer(make_sub(0), START)
        self.assertEqual(
            self.owned.receive_reply(make_reply(make_sub(7)), START),
            [],
        )
        self.assertEqual(self.owned.measure(START).in_flight, 1)

    def test_pauses_longer_after_each_refusal_in_a_row(self) -> None:
        now = START
        pauses = []
        for number in range(8):
            sub = make_sub(number, deadline_ms=9000)
            self.assertEqual(len(list_sent(self.owned.offer(sub, now))), 1)
            refused = make_reply(sub, ReplyStatus.NOT_RUN, Reason.OVERLOADED)
            self.owned.receive_reply(refused, now)
            self.assertFalse(self.owned.measure(now).open)
            late = make_sub(100 + number, deadline_ms=9000)
            self.assertEqual(self.owned.offer(late, now), [])
            wake = self.owned.next_wake(now)
            self.owned.cancel(late.attempt_id, now)
            pauses.append((wake or now) - now)
            now += pauses[-1]
        expected = [10, 20, 40, 80, 160, 320, 500, 500]
        self.assertEqual(pauses, [millis(one) for one in expected])

    def test_a_target_taken_over_gets_nothing_in_the_quiet_period(
        self,
    ) -> None:
        self.owned = self.make_owned(taken_over=True)
        soon = self.owned.offer(make_sub(1), START)
        self.assertEqual(list_refused(soon), [('1', Reason.OVERLOADED)])
        self.owned.offer(make_sub(0, deadline_ms=5000), START)
        quiet = OwnerSettings().quiet_period
        self.assertEqual(self.owned.next_wake(START), START + quiet)
        for at, expected in ((quiet - millis(1), []), (quiet, ['0'])):
            actions = self.owned.tick(START + at)
            self.assertEqual(list_sent(actions), expected)

    def test_a_draining_target_gets_no_new_work(self) -> None:
        for number in range(3):
            self.owned.offer(make_sub(number), START)
        draining = make_reply(
            make_sub(0), load_report=LoadReport(draining=True)
        )
        actions = self.owned.receive_reply(draining, START)
        self.assertEqual(
            list_refused([*actions, *self.owned.offer(make_sub(9), START)]),
            [(number, Reason.DRAINING) for number in '129'],
        )
        self.assertFalse(self.owned.measure(START).open)
        self.owned.reopen(Reason.DRAINING, START)
        self.assertEqual(list_sent(self.owned.offer(make_sub(9), START)), ['9'])


if __name__ == '__main__':
    unittest.main()
