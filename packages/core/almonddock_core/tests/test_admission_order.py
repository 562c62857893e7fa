import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.admission import (
    Admission,
    AdmissionAction,
    AdmissionSettings,
    Admit,
    Refuse,
    compute_unit_limit,
)
from almonddock_core.model import (
    Query,
    Reason,
    RequestId,
    Urgency,
    WorkloadId,
)

URGENT, NORMAL = Urgency.URGENT, Urgency.NORMAL
LIMIT = 40


def ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)


def make_query(
    name: str, urgency: Urgency = NORMAL, worth: float = 1, deadline: int = 300
) -> Query:
    return Query(
        RequestId(name),
        WorkloadId('desk'),
        b'',
        ms(deadline),
        urgency,
        worth,
    )


def make_admission(max_waiting: int = 10) -> Admission:
    return Admission(
        AdmissionSettings(max_units=LIMIT, max_waiting=max_waiting),
    )


def list_admitted(actions: list[AdmissionAction]) -> list[str]:
    return [one.request_id for one in actions if isinstance(one, Admit)]


class AdmissionTest(unittest.TestCase):
    def test_admits_by_urgency_then_worth_per_sub_query(self) -> None:
        admission = make_admission()
        admission.offer(make_query('running'), LIMIT, ms(0))
        admission.offer(make_query('large', worth=3), 40, ms(1))
        admission.offer(make_query('small', worth=2), 20, ms(2))
        admission.offer(make_query('urgent', URGENT, 0.1), 40, ms(3))
        order = ['running']
        for _ in range(3):
            freed = admission.finish(RequestId(order[-1]), ms(5))
            order.extend(list_admitted(freed))
        self.assertEqual(order, ['running', 'urgent', 'small', 'large'])

    def test_sheds_the_lowest_worth_when_too_many_wait(self) -> None:
        admission = make_admission(max_waiting=1)
        admission.offer(make_query('running'), LIMIT, ms(0))
        admission.offer(make_query('kept', worth=2), 20, ms(1))
        actions = admission.offer(make_query('shed', worth=1), 20, ms(1))
        self.assertEqual(
            actions, [Refuse(RequestId('shed'), Reason.OVERLOADED)]
        )

    def test_refuses_early_what_cannot_end_in_time(self) -> None:
        admission = make_admission()
        late = make_query('late', deadline=19)
        self.assertEqual(
            admission.offer(late, 1, ms(0)),
            [Refuse(RequestId('late'), Reason.TIMED_OUT)],
        )
        admission.offer(make_query('running'), LIMIT, ms(0))
        admission.offer(make_query('waits', deadline=100), 1, ms(0))
        self.assertEqual(admission.next_wake(), ms(80))
        self.assertEqual(admission.tick(ms(80)), [])
        actions = admission.tick(ms(80.001))
        self.assertEqual(
            actions, [Refuse(RequestId('waits'), Reason.TIMED_OUT)]
        )

    def test_runs_a_query_larger_than_the_limit_alone(self) -> None:
        admission = make_admission()
        first = admission.offer(make_query('big'), LIMIT + 1, ms(0))
        self.assertEqual(list_admitted(first), ['big'])
        self.assertEqual(admission.offer(make_query('one'), 1, ms(0)), [])
        freed = admission.withdraw(RequestId('big'), ms(1))
        self.assertEqual(list_admitted(freed), ['one'])

    def test_shares_the_slots_among_hosts(self) -> None:
        cases = ((120, 4, 20, 90), (4, 4, 20, 20), (120, 0, 1, 360))
        for slots, hosts, shards, expected in cases:
            with self.subTest(slots=slots, hosts=hosts):
                limit = compute_unit_limit(slots, hosts, shards)
                self.assertEqual(limit, expected)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.integers(1, LIMIT),
                st.integers(10, 400),
                st.booleans(),
            ),
            max_size=30,
        ),
    )
    def test_answers_each_query_once_within_the_limit(
        self, offers: list[tuple[int, int, int, bool]]
    ) -> None:
        admission = make_admission(max_waiting=3)
        running: dict[str, int] = {}
        decided: list[str] = []
        sizes: dict[str, int] = {}

        def record_actions(actions: list[AdmissionAction]) -> None:
            for one in actions:
                decided.append(one.request_id)
                if isinstance(one, Admit):
                    running[one.request_id] = sizes[one.request_id]
            self.assertLessEqual(sum(running.values()), LIMIT)

        for number, (urgency, units, deadline, ends) in enumerate(offers):
            now = ms(number)
            name = f'q{number}'
            sizes[name] = units
            query = make_query(name, Urgency(urgency), 1, deadline)
            record_actions(admission.offer(query, units, now))
            if ends and running:
                first = next(iter(running))
                running.pop(first)
                record_actions(admission.finish(RequestId(first), now))
        record_actions(admission.tick(ms(500)))
        self.assertCountEqual(decided, sizes)
