"""Tests of who a caller is, and until when its key counts."""

import unittest
from datetime import timedelta
from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.access import (
    CHECK_INTERVAL,
    MAX_WAITING,
    Belief,
    KeyCheckSchedule,
    PresentedKey,
    identify_caller,
    parse_key,
)
from almonddock_core.news import Freshness, limit_pause
from almonddock_core.routing import (
    Caller,
    CallerLimits,
    Organisation,
    Rejected,
    RejectionReason,
    Route,
    RoutingTable,
    build_organisation_table,
    build_routing_table,
)

SECOND = timedelta(seconds=1)
MS = timedelta(milliseconds=1)
BOUND = 5 * SECOND
#: The share of the bound after a cut in which callers are owed service.
OWED_SHARE = 0.6

LONG_KEY = b'k' * 1_000_000

LIMITS = CallerLimits(16_384, 262_144, 3 * SECOND, 60 * SECOND)


def make_route(*, public: bool = False) -> Route:
    return Route(
        name='one',
        host='desk.example',
        prefix='/one/',
        idempotent=False,
        timeout=SECOND,
        latency_goal=SECOND,
        max_attempts=1,
        priority=1,
        public=public,
    )


def make_table(*keys: bytes, keyed: bool = True) -> RoutingTable:
    organisations = None
    if keyed:
        organisations = build_organisation_table(
            [(Organisation('north'), keys)]
        )
    return build_routing_table(7, LIMITS, (), (make_route(),), organisations)


class CredentialsTest(unittest.TestCase):
    def test_key_is_read_from_one_field_of_the_scheme(self) -> None:
        for fields, key in (
            ((b'Token k1',), b'k1'),
            ((b' tOKEN   k1 ',), b'k1'),
            ((b'Token \xff\x00',), b'\xff\x00'),
            ((b'Token %b' % LONG_KEY,), LONG_KEY),
            ((), None),
            ((b'',), None),
            ((b'Token',), None),
            ((b'Token ',), None),
            ((b'Bearer k1',), None),
            ((b'Tokenk1',), None),
            ((b'Token k1', b'Token k1'), None),
            ((b'Token k1', b'Bearer k2'), None),
        ):
            with self.subTest(fields=[field[:20] for field in fields]):
                self.assertEqual(parse_key(fields, b'token'), key)


class IdentificationTest(unittest.TestCase):
    def identify(
        self,
        key: bytes | None,
        table: RoutingTable,
        *,
        public: bool = False,
        as_of: timedelta | None = SECOND,
        arrived: timedelta = 2 * SECOND,
        checked: bool = False,
        bound: timedelta | None = BOUND,
    ) -> Caller | Rejected | RejectionReason | None:
        found = identify_caller(
            PresentedKey(make_route(public=public), key, arrived, checked),
            table,
            Belief(as_of, 2 * SECOND, bound),
        )
        return found.reason if isinstance(found, Rejected) else found

    def test_key_names_the_organisation(self) -> None:
        caller = self.identify(b'k1', make_table(b'k1'))
        assert isinstance(caller, Caller)
        self.assertEqual(caller.organisation, Organisation('north'))

    def test_callers_without_organisations_are_let_in(self) -> None:
        for table, public in (
            (make_table(keyed=False), False),
            (make_table(b'k1'), True),
        ):
            for key in (None, b'k1', b'other'):
                caller = self.identify(key, table, public=public, as_of=None)
                self.assertEqual(caller, Caller(make_route(public=public)))

    def test_missing_key_is_rejected_whatever_is_known(self) -> None:
        for as_of in (None, SECOND):
            self.assertIs(
                self.identify(None, make_table(b'k1'), as_of=as_of),
                RejectionReason.UNKNOWN_KEY,
            )

    def test_unknown_key_is_rejected_only_after_a_read_since(self) -> None:
        """A key that was added a moment ago got 401, which ends retries."""
        table = make_table(b'k1')
        for as_of, checked, expected in (
            (None, False, None),
            (SECOND, False, None),
            (SECOND, True, RejectionReason.UNPROVEN_KEY),
            (2 * SECOND, False, RejectionReason.UNKNOWN_KEY),
            (2 * SECOND, True, RejectionReason.UNKNOWN_KEY),
        ):
            with self.subTest(as_of=as_of, checked=checked):
                found = self.identify(
                    b'k2', table, as_of=as_of, checked=checked
                )
                self.assertIs(found, expected)

    def test_known_key_without_proof_is_turned_away_for_now(self) -> None:
        for as_of, bound, is_let_in in (
            (None, BOUND, False),
            (2 * SECOND - BOUND, BOUND, False),
            (2 * SECOND - BOUND * OWED_SHARE, BOUND, True),
            (None, None, True),
            (2 * SECOND - 100 * BOUND, None, True),
        ):
            with self.subTest(as_of=as_of, bound=bound):
                found = self.identify(
                    b'k1', make_table(b'k1'), as_of=as_of, bound=bound
                )
                if is_let_in:
                    self.assertIsInstance(found, Caller)
                else:
                    self.assertIs(found, RejectionReason.UNPROVEN_KEY)


class KeyCheckScheduleTest(unittest.TestCase):
    """Guessed keys bought a call to the store each."""

    @settings(derandomize=True)
    @given(st.lists(st.integers(0, 900), max_size=60))
    def test_reads_are_apart_however_many_guess(self, steps: list[int]) -> None:
        schedule = KeyCheckSchedule()
        now = timedelta()
        starts = []
        for step in steps:
            now += step * MS
            if not schedule.join(now):
                continue
            now = max(now, schedule.next_at)
            schedule.start(now)
            schedule.finish(answered=step % 3 > 0)
            schedule.leave()
            starts.append(now)
        for earlier, later in pairwise(starts):
            self.assertGreaterEqual(later - earlier, CHECK_INTERVAL)

    def test_waiting_requests_are_bounded(self) -> None:
        schedule = KeyCheckSchedule()
        joined = [schedule.join(SECOND) for _ in range(MAX_WAITING + 1)]
        self.assertEqual(joined.count(False), 1)
        schedule.leave()
        self.assertTrue(schedule.join(SECOND))

    def test_nobody_waits_for_a_store_that_gave_no_answer(self) -> None:
        schedule = KeyCheckSchedule()
        schedule.start(SECOND)
        schedule.finish(answered=False)
        self.assertFalse(schedule.join(SECOND))
        self.assertTrue(schedule.join(SECOND + CHECK_INTERVAL))


#: One step of a host: read the store, be frozen, lose the store or find it.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(('read', 'freeze', 'cut', 'heal', 'idle')),
        st.integers(0, 3000),
        st.integers(0, 3000),
    ),
    max_size=40,
)


class WithdrawalTest(unittest.TestCase):
    """Callers were let in by keys that had been withdrawn, after a freeze."""

    @settings(derandomize=True, max_examples=300)
    @given(STEPS, st.integers(0, 60_000))
    def test_no_host_lets_in_after_the_bound(
        self, steps: list[tuple[str, int, int]], withdrawn_ms: int
    ) -> None:
        """Whatever is cut or frozen, and however long reads are under way."""
        withdrawn = withdrawn_ms * MS
        now = timedelta()
        is_cut = False
        freshness = Freshness()
        table = make_table(b'k1')
        for kind, first, second in steps:
            sent = now
            now += first * MS
            # The store answers at some time between send and arrival.
            answered = now
            now += second * MS
            if kind in {'cut', 'heal'}:
                is_cut = kind == 'cut'
            elif kind == 'read' and not is_cut:
                freshness.note(sent)
                if answered >= withdrawn:
                    table = make_table()
            found = identify_caller(
                PresentedKey(make_route(), b'k1', now),
                table,
                Belief(freshness.as_of, now, BOUND),
            )
            if isinstance(found, Caller):
                self.assertLess(now - withdrawn, BOUND)
            age = freshness.get_age(now)
            if age is not None and age <= BOUND * OWED_SHARE:
                self.assertNotEqual(found, RejectionReason.UNPROVEN_KEY)
                is_named = table == make_table(b'k1')
                self.assertEqual(isinstance(found, Caller), is_named)

    def test_older_answers_take_no_proof_away(self) -> None:
        freshness = Freshness()
        for moment in (2 * SECOND, SECOND, None):
            freshness.note(moment)
        self.assertEqual(freshness.as_of, 2 * SECOND)

    @settings(derandomize=True)
    @given(st.integers(0, 10_000), st.integers(0, 1500))
    def test_next_read_leaves_what_is_owed_after_a_cut(
        self, pause_ms: int, read_ms: int
    ) -> None:
        """Proof was so old at a cut that the host refused at once."""
        pause = limit_pause(pause_ms * MS, read_ms * MS, BOUND)
        self.assertLessEqual(pause, pause_ms * MS)
        if read_ms * MS < BOUND * 0.3:
            self.assertLessEqual(pause + read_ms * MS, BOUND * 0.31)

    def test_read_that_took_too_long_is_followed_at_once(self) -> None:
        for age in (None, BOUND, 100 * BOUND):
            self.assertLess(limit_pause(SECOND, age, BOUND), SECOND / 10)


if __name__ == '__main__':
    unittest.main()
