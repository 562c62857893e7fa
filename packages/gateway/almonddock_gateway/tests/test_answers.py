"""Tests of reading replies, and of building answers and requests."""

import unittest
from datetime import timedelta

from almonddock_core.dispatch import (
    Answer,
    ForwardedAnswer,
    MergedAnswer,
    Refusal,
    RefusalReason,
    ReplyGroup,
    ReplyKind,
    TargetReply,
)
from almonddock_core.tests.dispatch_cases import make_reply, make_route
from almonddock_gateway.entry._answers import build_answer
from almonddock_gateway.entry._requests import format_head
from almonddock_gateway.http import CallerRequest, HttpReply, ReplyMatch
from almonddock_gateway.targets import format_attempt, match_reply, read_reply
from almonddock_gateway.tests.fakes import NAMES

ID = (b'x-attempt', b'a1')
STAMP = (b'x-stamp', b's')
NOT_EXECUTED = (b'x-not-executed', b'1')


class ReplyTest(unittest.TestCase):
    def test_status_and_headers_decide_the_kind_of_a_reply(self) -> None:
        for status, headers, expected in (
            (200, [ID, STAMP], ReplyKind.SUCCESS),
            (200, [STAMP], ReplyKind.SUCCESS),
            (200, [ID], ReplyKind.FAILED),
            (
                200,
                [ID, STAMP, (b'content-encoding', b'gzip')],
                ReplyKind.FAILED,
            ),
            (500, [ID, STAMP], ReplyKind.FAILED),
            (503, [ID], ReplyKind.FAILED),
            (503, [ID, NOT_EXECUTED], ReplyKind.REFUSED),
            (429, [NOT_EXECUTED], ReplyKind.REFUSED),
            (421, [], ReplyKind.MISDIRECTED),
        ):
            with self.subTest(status=status, headers=headers):
                raw = HttpReply(status, headers, b'')
                self.assertIs(
                    match_reply(raw, b'a1', NAMES), ReplyMatch.ACCEPTED
                )
                self.assertIs(read_reply(raw, NAMES).kind, expected)

    def test_reply_to_another_request_is_foreign(self) -> None:
        reply = HttpReply(200, [(b'x-attempt', b'a2'), STAMP], b'')
        self.assertIs(match_reply(reply, b'a1', NAMES), ReplyMatch.FOREIGN)

    def test_reply_without_an_id_settles_no_unrepeatable_request(self) -> None:
        """A late copy of a rejected health check has no id.

        It was taken as the refusal of a request, which ran all the same.
        """
        for headers, expected in (
            ([NOT_EXECUTED], ReplyMatch.FOREIGN),
            ([STAMP], ReplyMatch.FOREIGN),
            ([ID, NOT_EXECUTED], ReplyMatch.ACCEPTED),
        ):
            with self.subTest(headers=headers):
                reply = HttpReply(503, headers, b'')
                match = match_reply(reply, b'a1', NAMES, needs_id=True)
                self.assertIs(match, expected)

    def test_reply_with_the_parts_of_two_is_broken(self) -> None:
        for headers in (
            [ID, STAMP, STAMP],
            [ID, ID, STAMP],
            [ID, STAMP, (b'date', b'MonHTTP/1.1 200 OK')],
        ):
            with self.subTest(headers=headers):
                reply = HttpReply(200, headers, b'')
                match = match_reply(reply, b'a1', NAMES)
                self.assertIs(match, ReplyMatch.BROKEN)


class AnswerTest(unittest.TestCase):
    def build(self, answer: Answer) -> tuple[int, dict[bytes, bytes], bytes]:
        status, headers, body = build_answer(answer, make_route(4), NAMES)
        return status, dict(headers), body

    def test_statuses_of_refusals_and_forwarded_answers(self) -> None:
        later = timedelta(seconds=0.25)
        for answer, status, retry_after in (
            (
                Refusal(RefusalReason.NO_TARGET, True, later),
                503,
                b'0.250',
            ),
            (Refusal(RefusalReason.OUTCOME_UNKNOWN, False), 502, None),
            (Refusal(RefusalReason.TIMED_OUT, False), 504, None),
            (
                ForwardedAnswer(make_reply(ReplyKind.FAILED, status=500)),
                500,
                None,
            ),
            (
                ForwardedAnswer(
                    TargetReply(ReplyKind.FAILED, 503, (), b'', None),
                ),
                502,
                None,
            ),
            (
                ForwardedAnswer(
                    TargetReply(ReplyKind.FAILED, 200, (), b'x', None),
                ),
                502,
                None,
            ),
        ):
            with self.subTest(answer=answer):
                got, headers, _ = self.build(answer)
                self.assertEqual(got, status)
                self.assertEqual(headers.get(b'retry-after'), retry_after)

    def test_failure_of_a_target_promises_nothing(self) -> None:
        """A target may answer 503 to a request that it has run.

        Passed on, it told the caller that nothing had run.
        """
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                failed = make_reply(ReplyKind.FAILED, status=status)
                answer = self.build(ForwardedAnswer(failed))
                self.assertEqual(answer, (502, {}, b''))

    def test_spoilt_success_is_not_passed_on(self) -> None:
        """An empty stamp or a content coding makes a success worthless."""
        for headers in (
            [ID, (b'x-stamp', b'')],
            [ID, STAMP, (b'content-encoding', b'gzip')],
        ):
            with self.subTest(headers=headers):
                raw = HttpReply(200, headers, b'spoilt')
                answer = self.build(ForwardedAnswer(read_reply(raw, NAMES)))
                self.assertEqual(answer, (502, {}, b''))

    def test_merged_answer_lists_its_stamps(self) -> None:
        group = ReplyGroup(b'c' * 16 + b'a' * 16)
        grouped = [
            TargetReply(ReplyKind.SUCCESS, 200, (), b'', stamp, group)
            for stamp in (b's1', b's2')
        ]
        alone = make_reply(body=b'b' * 16)
        status, headers, body = self.build(
            MergedAnswer((*grouped, alone), ('desk-3',)),
        )
        self.assertEqual(status, 200)
        self.assertEqual(headers[b'x-parts'], b's1, s2, stamp')
        self.assertEqual(headers[b'x-missing'], b'1')
        self.assertEqual(body, b'c' * 16 + b'b' * 16)


class HeadTest(unittest.TestCase):
    def test_hop_by_hop_and_forged_headers_are_not_forwarded(self) -> None:
        request = CallerRequest(
            method=b'POST',
            url=b'/a/%2e/b?c=%20',
            headers=[
                (b'host', b'desk.example'),
                ID,
                (b'x-deadline', b'900'),
                (b'x-expected', b'forged'),
                (b'connection', b'close, x-hop'),
                (b'x-hop', b'1'),
                (b'transfer-encoding', b'chunked'),
                (b'x-kept', b'1'),
            ],
            body=b'body',
        )
        head = format_head(request, NAMES)
        sent = format_attempt(head, 't1', timedelta(seconds=0.5), NAMES)
        self.assertEqual(
            sent.split(b'\r\n'),
            [
                b'POST /a/%2e/b?c=%20 HTTP/1.1',
                b'host: desk.example',
                b'x-attempt: a1',
                b'x-kept: 1',
                b'content-length: 4',
                b'x-expected: t1',
                b'x-deadline: 500',
                b'',
                b'',
            ],
        )

    def test_deadline_is_never_zero(self) -> None:
        sent = format_attempt(b'', 't1', timedelta(seconds=-1), NAMES)
        self.assertIn(b'x-deadline: 1\r\n', sent)


if __name__ == '__main__':
    unittest.main()
