"""Each check accepts correct evidence and reports a violation."""

import unittest
from dataclasses import replace
from typing import Any

from almonddock_platform.tests.standins import RestRefusal
from soak.observations import (
    ColdSpan,
    Evidence,
    FaultSpan,
    OutOfService,
    ReadinessSample,
)
from soak.processes import MemoryPeak, ProcessEnd
from soak.promises import check_all
from soak.schedule import FaultKind
from soak.settings import MEMORY_LIMIT
from soak.tests.cases import (
    PROMISES,
    SHARDS,
    answer_query,
    answer_single,
    build_arrival,
    build_call,
    build_evidence,
    build_refusal,
    build_version,
    seconds,
)


def list_broken(evidence: Evidence) -> set[str]:
    return {finding.promise for finding in check_all(evidence, PROMISES)}


def replace_answer(attempt_id: str, answer: Any) -> Evidence:
    evidence = build_evidence()
    return replace(
        evidence,
        calls=[
            replace(call, answer=answer)
            if call.attempt_id == attempt_id
            else call
            for call in evidence.calls
        ],
    )


def add_arrival(attempt_id: str, at: float, **changes: Any) -> Evidence:
    evidence = build_evidence()
    service = changes.pop('service', 'ledger')
    added = build_arrival(attempt_id, service, at, **changes)
    return replace(evidence, arrivals=[*evidence.arrivals, added])


def add_call(attempt_id: str, at: float, **changes: Any) -> Evidence:
    evidence = build_evidence()
    added = build_call(attempt_id, '/one/x', at, **changes)
    return replace(evidence, calls=[*evidence.calls, added])


class NoFindingTest(unittest.TestCase):
    def test_good_run_has_no_findings(self) -> None:
        self.assertEqual(check_all(build_evidence(), PROMISES), [])

    def test_answer_that_states_a_missing_shard_is_right(self) -> None:
        partial = answer_query('q', SHARDS[:3])
        self.assertEqual(list_broken(replace_answer('q', partial)), set())

    def test_disturbed_hosts_are_exempt_from_time_bounds(self) -> None:
        pause = FaultSpan(FaultKind.HOST_PAUSE, 0, seconds(29), seconds(31))
        late = add_call('l', 30, ended=seconds(33))
        self.assertEqual(list_broken(replace(late, spans=(pause,))), set())


class AnswerTest(unittest.TestCase):
    def test_wrong_answers_are_found(self) -> None:
        good = answer_query('q', SHARDS)
        for name, answer in (
            ('another request', answer_query('other', SHARDS)),
            ('too few parts', answer_query('q', SHARDS[:2])),
            ('unreported missing part', replace(good, parts=good.parts[1:])),
            ('a part twice', replace(good, parts=good.parts[:1] * 4)),
            (
                'wrong records',
                replace(good, body=good.body[16:] + good.body[:16]),
            ),
            ('malformed stamp', replace(good, parts=('x',))),
        ):
            with self.subTest(name):
                broken = list_broken(replace_answer('q', answer))
                self.assertEqual(broken, {'right answers'})

    def test_single_answers_are_compared(self) -> None:
        good = answer_single('f', 'ledger')
        for answer in (
            replace(good, body=good.body[:-1]),
            answer_single('f', 'archive'),
            answer_single('o', 'ledger'),
        ):
            broken = list_broken(replace_answer('f', answer))
            self.assertEqual(broken, {'right answers'})

    def test_surplus_bytes_are_found(self) -> None:
        evidence = add_call('s', 30, surplus=True)
        self.assertEqual(list_broken(evidence), {'right answers'})


class RunTest(unittest.TestCase):
    def test_wrong_runs_are_found(self) -> None:
        for promise, evidence in (
            ('asked for', add_arrival('nobody', 12, deadline_ms=0)),
            ('asked for', add_arrival('f', 12, digest='changed')),
            ('asked for', add_arrival('f', 12, service='archive')),
            ('at most once', add_arrival('o', 12.2)),
            ('deadlines', add_arrival('f', 12, deadline_ms=2001)),
            ('deadlines', add_arrival('f', 12, deadline_ms=None)),
        ):
            with self.subTest(promise):
                self.assertIn(promise, list_broken(evidence))

    def test_refusal_of_what_has_run_is_found(self) -> None:
        for status in (408, 421, 429, 503):
            evidence = replace_answer('o', build_refusal(status))
            self.assertEqual(list_broken(evidence), {'true refusals'})
        evidence = replace_answer('o', build_refusal(502))
        self.assertEqual(list_broken(evidence), set())

    def test_client_errors_for_valid_requests_are_found(self) -> None:
        evidence = replace_answer('f', build_refusal(404))
        self.assertIn('no denials', list_broken(evidence))

    def test_work_for_a_caller_that_left_is_found(self) -> None:
        evidence = add_call('g', 30, left=True, answer=None)
        added = build_arrival('g', 'ledger', 30.6)
        evidence = replace(evidence, arrivals=[*evidence.arrivals, added])
        self.assertEqual(list_broken(evidence), {'callers that left'})


class BoundTest(unittest.TestCase):
    def test_late_answers_are_found(self) -> None:
        evidence = add_call('l', 30, ended=seconds(32.1))
        self.assertEqual(list_broken(evidence), {'in time'})

    def test_work_for_leaving_or_drained_targets_is_found(self) -> None:
        for promise, changes in (
            (
                'leaving targets',
                {'leaving': [OutOfService('t0-1', seconds(5))]},
            ),
            (
                'drained data centres',
                {'drained': [OutOfService('a', seconds(4))]},
            ),
        ):
            evidence = build_evidence(**changes)
            self.assertEqual(list_broken(evidence), {promise})

    def test_too_much_for_a_cold_target_is_found(self) -> None:
        evidence = build_evidence()
        span = ColdSpan('t0-1', seconds(13), seconds(16), 2)
        for number, broken in ((8, set()), (9, {'cold targets'})):
            many = [
                build_arrival('f', 'ledger', 14 + index / 10)
                for index in range(number)
            ]
            arrivals = [*evidence.arrivals, *many]
            loaded = replace(evidence, arrivals=arrivals, cold=[span])
            self.assertEqual(list_broken(loaded), broken)

    def test_retries_over_the_budget_are_found(self) -> None:
        evidence = build_evidence()
        for number, broken in ((52, set()), (53, {'retry budget'})):
            many = [
                build_arrival('f', 'ledger', 11.1 + index / 100)
                for index in range(number)
            ]
            arrivals = [*evidence.arrivals, *many]
            self.assertEqual(
                list_broken(replace(evidence, arrivals=arrivals)),
                broken,
            )

    def test_budget_counts_requests_for_newer_services(self) -> None:
        """The budget counts requests for services of a newer version.

        60 extra attempts at the archive, which only version 2 routes to, are
        within the budget of 90 requests but exceed that of 30.
        """
        versions = (build_version(1, 0), build_version(2, 20, 'archive'))
        for number, broken in ((90, set()), (30, {'retry budget'})):
            calls = [
                build_call(
                    f'm{index}',
                    '/one/x',
                    30 + index / 100,
                    answer=answer_single(f'm{index}', 'archive'),
                )
                for index in range(number)
            ]
            arrivals = [
                build_arrival(call.attempt_id, 'archive', 31) for call in calls
            ]
            extra = [build_arrival('m0', 'archive', 32) for _ in range(60)]
            evidence = build_evidence(versions=versions)
            last = build_call(
                'z',
                '/one/x',
                60,
                answer=answer_single('z', 'archive'),
            )
            changed = replace(
                evidence,
                calls=[*evidence.calls[:-1], *calls, last],
                arrivals=[
                    *evidence.arrivals[:-1],
                    *arrivals,
                    *extra,
                    build_arrival('z', 'archive', 60.01),
                ],
            )
            with self.subTest(number):
                self.assertEqual(list_broken(changed), broken)

    def test_old_versions_are_found(self) -> None:
        versions = (build_version(1, 0), build_version(2, 26, 'archive'))
        moved = answer_single('m', 'archive')
        for sent, promises in (
            (30, {'in force', 'no reversion'}),
            (27.2, {'no reversion'}),
            (27.1, set()),
        ):
            evidence = build_evidence(versions=versions)
            calls = [
                *evidence.calls[:-1],
                build_call('m', '/one/x', 26.9, answer=moved),
                build_call('old', '/one/x', sent),
                build_call(
                    'z', '/one/x', 60, answer=answer_single('z', 'archive')
                ),
            ]
            arrivals = [
                *evidence.arrivals[:-1],
                build_arrival('m', 'archive', 26.91),
                build_arrival('old', 'ledger', sent + 0.01),
                build_arrival('z', 'archive', 60.01),
            ]
            with self.subTest(sent):
                changed = replace(evidence, calls=calls, arrivals=arrivals)
                self.assertEqual(list_broken(changed), promises)

    def test_version_after_a_return_of_the_store_is_due_in_time(self) -> None:
        """One written before may be lost; one written after is bounded."""
        for kind, end, promises in (
            (FaultKind.STORE_RETURN, 26.0, {'in force'}),
            (FaultKind.STORE_RETURN_TWICE, 26.0, {'in force'}),
            (FaultKind.STORE_RETURN, 26.2, set()),
            (FaultKind.STORE_DOWN, 26.0, set()),
        ):
            versions = (build_version(1, 0), build_version(2, 26.1, 'archive'))
            span = FaultSpan(kind, 0, seconds(25), seconds(end))
            evidence = add_call('old', 30)
            calls = [one for one in evidence.calls if one.sent < seconds(60)]
            late = add_call('z', 60, answer=answer_single('z', 'archive'))
            arrivals = [
                *evidence.arrivals,
                build_arrival('old', 'ledger', 30.01),
                build_arrival('z', 'archive', 60.01),
            ]
            changed = replace(
                evidence,
                calls=[*calls, late.calls[-1]],
                arrivals=[one for one in arrivals if one.attempt_id != 'late'],
                versions=versions,
                spans=(span,),
            )
            with self.subTest(kind=kind, end=end):
                self.assertEqual(list_broken(changed), promises)


#: A target to which only the requests of a test go.
OTHER_TARGET = 't1-1'


def add_told_call(*times: float, **changes: Any) -> Evidence:
    """Adds an answer of a target that leaves, and later requests to it.

    The host learns at 30.05 s that the target leaves. ``changes`` are those of
    the later calls.
    """
    evidence = build_evidence(target_data_centres={'t0-1': 'a', 't1-1': 'b'})
    answer = replace(
        answer_single('told', 'ledger'), stamp=f'{OTHER_TARGET}.ledger.told'
    )
    calls = [build_call('told', '/one/x', 30, answer=answer)]
    for index, at in enumerate(times):
        calls.append(build_call(f'n{index}', '/one/x', at, **changes))
    arrivals = [
        build_arrival(
            one.attempt_id,
            'ledger',
            one.sent.total_seconds(),
            target=OTHER_TARGET,
        )
        for one in calls
    ]
    return replace(
        evidence,
        calls=[*evidence.calls, *calls],
        arrivals=[*evidence.arrivals, *arrivals],
        unlisted=[OutOfService(OTHER_TARGET, seconds(29))],
    )


class ReplyTest(unittest.TestCase):
    def test_requests_after_a_reply_said_leaving_are_found(self) -> None:
        for at, changes, broken in (
            (33, {}, set()),
            (33.1, {}, {'leaving targets'}),
            (33.1, {'incarnation': 2}, set()),
            (33.1, {'host': 1}, set()),
        ):
            evidence = add_told_call(at, **changes)
            with self.subTest(at=at, changes=changes):
                self.assertEqual(list_broken(evidence), broken)

    def test_a_frozen_host_is_excused_from_what_a_reply_said(self) -> None:
        pause = FaultSpan(FaultKind.HOST_PAUSE, 0, seconds(31), seconds(32))
        evidence = replace(add_told_call(34), spans=(pause,))
        self.assertEqual(list_broken(evidence), set())

    def test_a_host_out_of_touch_is_not_excused(self) -> None:
        reset = FaultSpan(FaultKind.LINK_RESET, 0, seconds(31), seconds(32))
        evidence = replace(add_told_call(34), spans=(reset,))
        self.assertEqual(list_broken(evidence), {'leaving targets'})

    def test_requests_to_a_resting_target_are_found(self) -> None:
        first = RestRefusal(OTHER_TARGET, 'told', seconds(30), seconds(3))
        for times, broken in (
            ((30.2, 30.3, 30.4, 30.6, 30.7), set()),
            ((30.6, 30.7, 30.8), {'resting targets'}),
            ((30.6, 30.7, 33.1), set()),
        ):
            evidence = add_told_call(*times)
            evidence = replace(evidence, unlisted=(), rest_refusals=[first])
            with self.subTest(times=times):
                self.assertEqual(list_broken(evidence), broken)

    def test_refusals_count_as_requests_to_a_resting_target(self) -> None:
        evidence = add_told_call(30.6, 30.7, 30.8)
        refused = [
            RestRefusal(OTHER_TARGET, one.attempt_id, one.at, seconds(2))
            for one in evidence.arrivals
            if one.target == OTHER_TARGET
        ]
        arrivals = [
            one for one in evidence.arrivals if one.target != OTHER_TARGET
        ]
        evidence = replace(
            evidence, unlisted=(), arrivals=arrivals, rest_refusals=refused
        )
        self.assertEqual(list_broken(evidence), {'resting targets'})


class HostTest(unittest.TestCase):
    def test_requests_cut_by_a_stop_are_found(self) -> None:
        cut = add_call('c', 30, answer=None, ended=seconds(30.3))
        stops = [(0, seconds(29))]
        stopped = replace(cut, stops=stops)
        self.assertEqual(list_broken(stopped), {'graceful stops'})
        self.assertEqual(list_broken(cut), set())
        at_once = add_call('n', 30, answer=None, ended=seconds(30.1))
        stopped = replace(at_once, stops=stops)
        self.assertEqual(list_broken(stopped), set())
        begun = [*cut.arrivals, build_arrival('n', 'ledger', 30.01)]
        stopped = replace(stopped, arrivals=begun)
        self.assertEqual(list_broken(stopped), {'graceful stops'})

    def test_process_failures_are_found(self) -> None:
        end = ProcessEnd(0, 1, seconds(12), 1, requested=False)
        for changes in (
            {'ends': [end]},
            {'errors': [(0, 'Traceback\nValueError')]},
            {'memory': [MemoryPeak(0, seconds(3), MEMORY_LIMIT + 1)]},
        ):
            evidence = build_evidence(**changes)
            self.assertEqual(list_broken(evidence), {'processes'})
        asked = build_evidence(ends=[replace(end, requested=True)])
        self.assertEqual(list_broken(asked), set())

    def test_hosts_that_stay_unready_are_found(self) -> None:
        start = FaultSpan(FaultKind.HOST_KILL, 0, seconds(14), seconds(15))
        for at, host, broken in (
            (12, 0, set()),
            (26.9, 0, set()),
            (27.1, 0, {'readiness'}),
            (20, 1, {'readiness'}),
        ):
            samples = [
                ReadinessSample(host, seconds(at), ready=False),
                ReadinessSample(host, seconds(at + 20), ready=True),
            ]
            evidence = build_evidence(spans=(start,), readiness=samples)
            with self.subTest(at=at, host=host):
                self.assertEqual(list_broken(evidence), broken)

    def test_missing_recovery_is_found(self) -> None:
        evidence = replace_answer('late', build_refusal(502))
        self.assertEqual(list_broken(evidence), {'recovery'})
        nobody = replace(evidence, calls=evidence.calls[:-1])
        self.assertIn('recovery', list_broken(nobody))


if __name__ == '__main__':
    unittest.main()
