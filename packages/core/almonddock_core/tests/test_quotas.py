"""Tests of quotas over all hosts, without a network."""

import itertools
import unittest
from collections.abc import Sequence
from datetime import timedelta
from functools import partial

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.quotas import (
    LAPSE,
    AskGrantor,
    Bucket,
    CreditQuery,
    CreditReply,
    CreditSource,
    HostPlace,
    HostSet,
    LetIn,
    Quotas,
    QuotaSettings,
    StartState,
    count_allowed,
    divide_quota,
    limit_count,
)
from almonddock_core.routing import Organisation, Quota
from almonddock_core.tests.quota_fleet import (
    MS,
    SECOND,
    SETTINGS,
    Fleet,
    Request,
    find_worst_window,
)

#: When traffic starts: hosts of a first start know each other by then.
START = 16 * SECOND
#: Its burst is most of what a window may hold.
QUOTA = Quota(2, 60)

#: Requests a second while they come.
BURST_RATE = 80

FAULTS = ('cut', 'cut_from_store', 'freeze', 'kill', 'stop', 'join', 'limit')
#: Kills of all hosts at once or in turn, among other faults.
KILLS = (
    'kill_all',
    'kill_all',
    'kill_in_turn',
    'kill',
    'stop',
    'cut',
    'join',
    'limit',
)

#: Quotas of which much, or nothing, comes back within a window.
QUOTAS = (QUOTA, Quota(0, 60), Quota(8, 8), Quota(0.2, 1))

Fault = tuple[str, int, int, int]


def schedule(fleet: Fleet, fault: Fault) -> None:
    """Schedules a fault: its kind, host, start and length in half seconds."""
    kind, number, start, length = fault
    name = f'host-{number % len(fleet.processes)}'
    begin = START + start * SECOND / 2
    end = begin + length * SECOND / 2
    if kind in {'kill_all', 'kill_in_turn'}:
        pause = length % 4 * SECOND / 2
        gap = number * 50 * MS if kind == 'kill_in_turn' else timedelta()
        fleet.at(begin, lambda: fleet.kill_all(pause, gap))
        return
    restart = partial(fleet.restart, name)

    match kind:
        case 'cut':
            fleet.at(begin, lambda: fleet.cut_from_hosts.add(name))
            fleet.at(begin, lambda: fleet.cut_from_store.add(name))
            fleet.at(end, lambda: fleet.cut_from_hosts.discard(name))
            fleet.at(end, lambda: fleet.cut_from_store.discard(name))
        case 'cut_from_store':
            fleet.at(begin, lambda: fleet.cut_from_store.add(name))
            fleet.at(end, lambda: fleet.cut_from_store.discard(name))
        case 'freeze':
            fleet.at(begin, lambda: fleet.freeze(name, end - begin))
        case 'kill':
            fleet.at(begin, lambda: fleet.kill(name))
            fleet.at(end, restart)
        case 'stop':
            fleet.at(begin, lambda: fleet.stop(name))
            fleet.at(end, restart)
        case 'join':
            fleet.at(begin, lambda: fleet.start(f'new-{number}', 'dc-1'))
        case 'limit':
            quota = Quota(number % 12, length % 9 * 8)
            fleet.at(begin, lambda: fleet.set_quotas(['o'], quota))


def send(fleet: Fleet, seconds: int, hosts: int, pause: int) -> None:
    """Sends bursts to some hosts, those that joined included."""
    at = START

    def request() -> None:
        names = list(fleet.processes)
        chosen = names[-hosts:] if hosts < len(names) else names
        fleet.request(fleet.random.choice(chosen), 'o')

    while at < START + seconds * SECOND:
        at += fleet.random.expovariate(BURST_RATE) * SECOND
        if not pause or (at // SECOND) % (pause + 1) == 0:
            fleet.at(at, request)


def find_excess(fleet: Fleet) -> int:
    """Returns by how many requests the worst window exceeds its bound.

    A window is bound by the highest limit in force since some time before it.
    """
    worst = -1000
    window = SETTINGS.window
    times = sorted(fleet.let_in['o'])
    changes = [*fleet.limits, (timedelta.max, Quota(0, 0))]
    for first, when in enumerate(times):
        within = sum(other - when <= window for other in times[first:])
        begin = when - window - 2 * SECOND
        allowed = max(
            count_allowed(quota, SETTINGS)
            for (since, quota), (until, _) in itertools.pairwise(changes)
            if since <= when + window and until > begin
        )
        worst = max(worst, within - allowed)
    return worst


class BucketTest(unittest.TestCase):
    @settings(derandomize=True)
    @given(
        st.integers(0, 12),
        st.floats(0, 8),
        st.lists(st.floats(0, 2), max_size=120),
    )
    def test_no_window_has_more(
        self, count: int, burst: float, pauses: Sequence[float]
    ) -> None:
        allowance = limit_count(count, burst, 5 * SECOND)
        bucket = Bucket(timedelta())
        now = timedelta()
        taken = []
        for pause in pauses:
            now += pause * SECOND
            if bucket.take(1, allowance, now):
                taken.append(now)
        self.assertLessEqual(find_worst_window(taken, 5 * SECOND), count)

    def test_a_changed_limit_is_no_fresh_one(self) -> None:
        """A version that raises and lowers a limit by turns adds nothing."""
        high = limit_count(8, 8, 5 * SECOND)
        low = limit_count(2, 2, 5 * SECOND)
        bucket = Bucket(timedelta())
        self.assertEqual(bucket.take(9, high, timedelta()), 8)
        self.assertEqual(bucket.take(1, low, 10 * MS), 0)
        self.assertEqual(bucket.take(1, high, 20 * MS), 0)

    def test_what_is_given_back_counts_no_more(self) -> None:
        allowance = limit_count(1, 1, 5 * SECOND)
        bucket = Bucket(timedelta())
        self.assertEqual(bucket.take(1, allowance, timedelta()), 1)
        bucket.give_back(1, allowance)
        self.assertEqual(bucket.take(1, allowance, timedelta()), 1)


class DivisionTest(unittest.TestCase):
    def test_parts_stay_within_the_bound(self) -> None:
        limits = (Quota(0.05, 0), Quota(0.4, 3), Quota(11, 7), Quota(900, 90))
        for quota, hosts, slack in itertools.product(
            limits, (1, 4, 31, 300), (0, 3, 20)
        ):
            bounds = QuotaSettings(5 * SECOND, 0.1, slack)
            names = [f'h{number}' for number in range(hosts)]
            known = HostSet(names, names[:6])
            parts = [
                divide_quota('o', quota, name, known, bounds) for name in names
            ]
            total = 0
            for part in parts:
                for allowance, window in (
                    (part.granted, bounds.grant_window),
                    (part.own, bounds.window),
                ):
                    seconds = window.total_seconds()
                    total += int(allowance.burst + allowance.rate * seconds)
                total += part.start
            with self.subTest(quota=quota, hosts=hosts, slack=slack):
                self.assertLessEqual(total, count_allowed(quota, bounds))
                self.assertGreater(total, 0.8 * count_allowed(quota, bounds))


class FleetTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.integers(0, 1000),
        st.sampled_from((4, 7, 13)),
        st.sampled_from((2, 5, 100)),
        st.integers(0, 4),
        st.lists(
            st.tuples(
                st.sampled_from(FAULTS),
                st.integers(0, 12),
                st.integers(0, 50),
                st.integers(1, 60),
            ),
            max_size=10,
        ),
    )
    def test_no_window_exceeds_the_bound(
        self,
        seed: int,
        hosts: int,
        used: int,
        pause: int,
        faults: Sequence[Fault],
    ) -> None:
        """Faults and changes of every kind, far above the limit."""
        fleet = Fleet(hosts, seed, QUOTA)
        fleet.set_quotas(['o'], QUOTA)
        for fault in faults:
            schedule(fleet, fault)
        send(fleet, 50, used, pause)
        fleet.run(START + 51 * SECOND)
        self.assertLessEqual(find_excess(fleet), 0)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.integers(0, 1000),
        st.sampled_from((4, 7, 13)),
        st.sampled_from(QUOTAS),
        st.lists(
            st.tuples(
                st.sampled_from(KILLS),
                st.integers(0, 12),
                st.integers(0, 50),
                st.integers(1, 60),
            ),
            min_size=1,
            max_size=8,
        ),
    )
    def test_no_window_with_kills_exceeds_the_bound(
        self, seed: int, hosts: int, quota: Quota, faults: Sequence[Fault]
    ) -> None:
        """Hosts that are killed, also twice in a window, all or in turn."""
        fleet = Fleet(hosts, seed, quota)
        fleet.set_quotas(['o'], quota)
        for fault in faults:
            schedule(fleet, fault)
        send(fleet, 40, 100, seed % 4)
        fleet.run(START + 41 * SECOND)
        self.assertLessEqual(find_excess(fleet), 0)

    def test_start_parts_are_used_once_beside_all_others(self) -> None:
        """Two kills of all hosts within the window of a used-up quota."""
        for second in (3, 5, 7):
            for quota in QUOTAS:
                fleet = Fleet(6, 1, quota)
                fleet.set_quotas(['o'], quota)
                fleet.at(START + SECOND, partial(fleet.kill_all, timedelta()))
                fleet.at(
                    START + second * SECOND,
                    partial(fleet.kill_all, timedelta()),
                )
                send(fleet, 12, 6, 0)
                fleet.run(START + 13 * SECOND)
                with self.subTest(second=second, quota=quota):
                    self.assertLessEqual(find_excess(fleet), 0)

    def test_a_start_part_is_told_of_until_a_window_after_its_use(self) -> None:
        """It may be used until the end of the first window."""
        place = HostPlace('a', 'dc')
        hosts = Quotas(place, SETTINGS, StartState(START), bool).hosts
        window = hosts.first_window
        last_use = START + SETTINGS.grant_window - MS
        self.assertTrue(window.includes(last_use))
        self.assertFalse(window.includes(last_use + MS))
        until = last_use + SETTINGS.grant_window
        self.assertTrue(window.is_recent(until))
        self.assertFalse(window.is_recent(until + MS))

    def test_the_usual_rate_is_served_after_a_kill_of_all_hosts(self) -> None:
        """They don't know what they granted, but little is asked for."""
        quota = Quota(8, 8)
        served = []
        for seed in range(10):
            fleet = Fleet(31, seed, quota)
            fleet.set_quotas(['o'], quota)
            fleet.at(START, partial(fleet.kill_all, SECOND / 2))
            fleet.run(START + 2 * SECOND)
            for number in range(6):
                host = f'host-{fleet.random.randrange(31)}'
                when = fleet.now + number * SECOND / 2
                fleet.at(when, partial(fleet.send, host, 'o'))
            fleet.run(START + 5 * SECOND)
            served.append(len(fleet.let_in['o']))
        self.assertGreaterEqual(sum(served), 0.9 * 60)

    def test_what_is_refused_in_a_first_window_may_retry_after_it(self) -> None:
        """All would return to a grantor that has nothing to grant."""
        place = HostPlace('a', 'dc')
        quotas = Quotas(place, SETTINGS, StartState(START), bool)
        quotas.hosts.note_earlier_grants()
        quotas.update_quotas([Organisation('o', quota=QUOTA)])
        now = START + SECOND
        quotas.update_hosts([place, HostPlace('b', 'dc')], now, now)
        query = CreditQuery(1, 'o', 9, timedelta())
        unknown = quotas.receive_query(query, now)
        self.assertLess(unknown.wait, SECOND)
        quotas.hosts.first_window.note_part(is_usable=True)
        replies = [quotas.receive_query(query, now) for _ in range(3)]
        granted = [reply.granted for reply in replies]
        division = divide_quota('o', QUOTA, 'a', quotas.hosts.current, SETTINGS)
        self.assertEqual(granted, [division.start, 0, 0])
        waits = [reply.wait for reply in replies]
        end = SETTINGS.grant_window - SECOND
        self.assertEqual(waits[0], end)
        self.assertEqual(waits, sorted(set(waits)))
        self.assertLessEqual(waits[2], end + SECOND)

    def test_a_restarted_host_grants_no_second_burst(self) -> None:
        """A process that has just started does not know what it granted."""
        fleet = Fleet(4, 1, QUOTA)
        fleet.set_quotas(['o'], QUOTA)
        for number in range(3):
            schedule(fleet, ('kill', number, 2, 1))
        send(fleet, 4, 4, 0)
        fleet.run(START + 5 * SECOND)
        self.assertLessEqual(find_excess(fleet), 0)

    def test_a_joined_host_waits_for_one_that_cannot_know_of_it(self) -> None:
        """Both would hold one part, each for the hosts that it reaches."""
        fleet = Fleet(12, 1, QUOTA)
        fleet.set_quotas(['o'], QUOTA)
        fleet.run(10 * SECOND)
        others = [name for name in fleet.processes if name != 'host-1']
        grantors = set(fleet.processes['host-1'].quotas.hosts.current.grantors)
        fleet.cut_from_store |= grantors
        for number in range(12):
            fleet.start(f'new-{number}', f'dc-{number % 3}')
        self.assertTrue(others)
        send(fleet, 8, 100, 0)
        fleet.run(START + 9 * SECOND)
        self.assertLessEqual(find_excess(fleet), 0)

    def test_a_late_grant_is_not_used(self) -> None:
        """Its window may be over when a frozen host reads it."""
        place = HostPlace('a', 'dc')
        quotas = Quotas(place, SETTINGS, StartState(timedelta()), bool)
        quotas.update_quotas([Organisation('o', quota=QUOTA)])
        quotas.update_hosts([place, HostPlace('b', 'dc')], START, START)
        ticket, actions = quotas.admit('o', START)
        self.assertIsInstance(actions[0], AskGrantor)
        reply = CreditReply(1, 'o', 1, timedelta(), grants=True)
        late = quotas.receive_reply(reply, START + SECOND)
        self.assertNotIn(LetIn(ticket, CreditSource.GRANTED), late)

    def test_a_host_without_news_uses_no_part(self) -> None:
        """Others may hold its part by then."""
        fleet = Fleet(4, 1, QUOTA)
        fleet.run(START)
        known = fleet.processes['host-0'].quotas.hosts
        self.assertTrue(known.may_grant(fleet.now))
        self.assertTrue(known.may_spend(fleet.now))
        fleet.cut_from_store.add('host-0')
        fleet.run(START + LAPSE + SECOND)
        self.assertFalse(known.may_grant(fleet.now))
        self.assertFalse(known.may_spend(fleet.now))

    def test_a_restart_of_all_hosts_recovers(self) -> None:
        """Nobody is left who knows the others."""
        fleet = Fleet(7, 1, QUOTA)
        fleet.set_quotas(['o'], QUOTA)
        for number in range(7):
            schedule(fleet, ('kill', number, 0, 4))
        fleet.run(START + 10 * SECOND)
        request = fleet.request('host-1', 'o') or (0, 0)
        fleet.run(START + 11 * SECOND)
        self.assertTrue(fleet.answers[request])

    def test_a_loss_of_all_hosts_after_stops_in_turn_recovers(self) -> None:
        """Nobody was left who knew that they had granted."""
        for gap in (0, 1, 2):
            fleet = Fleet(7, 1, QUOTA)
            fleet.set_quotas(['o'], QUOTA)
            for number in range(7):
                schedule(fleet, ('stop', number, gap * number, 2))
            lost = START + 8 * SECOND
            fleet.at(lost, partial(fleet.kill_all, SECOND / 2))
            fleet.run(lost + 10 * SECOND)
            request = fleet.request('host-1', 'o') or (0, 0)
            fleet.run(lost + 11 * SECOND)
            with self.subTest(gap=gap):
                self.assertTrue(fleet.answers[request])

    def test_hosts_that_restart_in_turn_keep_granting(self) -> None:
        """They deregister; the others know how long they have granted."""
        fleet = Fleet(7, 1, QUOTA)
        fleet.set_quotas(['o'], QUOTA)
        for number in range(7):
            schedule(fleet, ('stop', number, 30 + 4 * number, 4))
        served = []
        for half in range(30, 80):

            def send_one() -> None:
                host = f'host-{fleet.random.randrange(7)}'
                request = fleet.request(host, 'o')
                if request is not None:
                    served.append(request)

            fleet.at(START + half * SECOND / 2, send_one)
        fleet.run(START + 41 * SECOND)
        self.assertTrue(all(fleet.answers[one] for one in served))

    def test_what_is_owed_is_served_in_calm(self) -> None:
        """However few hosts its callers reach, and however few ask."""
        for hosts, used in ((4, 1), (31, 1), (31, 31)):
            fleet = Fleet(hosts, 1, QUOTA)
            fleet.set_quotas(['o'], Quota(3, 3))
            for number in range(90):
                host = f'host-{number % used}'
                when = START + number * SECOND / 3
                fleet.at(when, partial(fleet.send, host, 'o'))
            fleet.run(START + 31 * SECOND)
            with self.subTest(hosts=hosts, used=used):
                self.assertEqual(len(fleet.let_in['o']), 90)

    def test_no_request_waits_long_for_credits(self) -> None:
        """Grantors that gave a few each kept a busy host's for seconds."""
        quota = Quota(90, 90)
        fleet = Fleet(31, 1, quota)
        fleet.set_quotas(['o'], quota)
        requests: list[Request | None] = []

        def send_one() -> None:
            requests.append(fleet.request('host-1', 'o'))

        for number in range(500):
            fleet.at(START + number * 8 * MS, send_one)
        fleet.run(START + 4 * SECOND + 500 * MS)
        unanswered = [one for one in requests if one not in fleet.answers]
        self.assertEqual(unanswered, [])

    def test_without_quotas_nothing_is_sent_or_held(self) -> None:
        fleet = Fleet(4, 1, QUOTA)
        fleet.run(START)
        for _ in range(100):
            fleet.request('host-1', 'o')
        self.assertEqual(len(fleet.let_in['o']), 100)
        self.assertEqual(fleet.messages, 0)
        held = [one.quotas.held for one in fleet.processes.values()]
        self.assertEqual(sum(held), 0)

    def test_organisations_without_requests_are_forgotten(self) -> None:
        fleet = Fleet(4, 1, QUOTA)
        names = [f'o{number}' for number in range(1000)]
        fleet.set_quotas(names, QUOTA)
        fleet.run(START)
        for name in names:
            fleet.request('host-1', name)
        fleet.run(START + 40 * SECOND)
        held = [one.quotas.held for one in fleet.processes.values()]
        self.assertEqual(sum(held), 0)
