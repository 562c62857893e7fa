import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from almonddock_core.idempotency import (
    Claim,
    Finish,
    Grant,
    KeyDigest,
    Recorded,
    Refuse,
    Repeat,
)
from almonddock_core.model import (
    AttemptId,
    DataCentreId,
    HostId,
    Incarnation,
    IndexVersion,
    LoadReport,
    Outcome,
    Reason,
    ReplyStatus,
    RequestId,
    ShardId,
    SubQuery,
    SubReply,
    TargetId,
    TargetLoad,
    Urgency,
)
from almonddock_core.owners import (
    Handover,
    Holder,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
)
from almonddock_wire import (
    MAX_FRAME_BYTES,
    BadFrameError,
    CancelBatch,
    FrameReader,
    Hello,
    OversizedFrameError,
    Ping,
    Pong,
    SubQueryBatch,
    SubReplyBatch,
    add_length_prefix,
    decode,
    encode,
)

SENT_AT = timedelta(seconds=100)
SUB = SubQuery(
    attempt_id=AttemptId('r1:4'),
    request_id=RequestId('r1'),
    shard=ShardId('desk/s0'),
    target=TargetId('desk/a'),
    version=IndexVersion(7),
    body=b'{"q":1}',
    deadline=SENT_AT + timedelta(milliseconds=250),
    urgency=Urgency.URGENT,
    worth=2.5,
    idempotent=False,
    hedge=True,
    traceparent='00-aa-bb-01',
)
REPLY = SubReply(
    attempt_id=AttemptId('r1:4'),
    request_id=RequestId('r1'),
    shard=ShardId('desk/s0'),
    target=TargetId('desk/a'),
    status=ReplyStatus.NOT_RUN,
    reason=Reason.COLD,
    rows=b'[1]',
    queued=timedelta(milliseconds=3),
    served=timedelta(milliseconds=4),
    load_report=LoadReport(cold=True, in_flight=2),
)
LOAD = TargetLoad(
    TargetId('desk/a'),
    queued=4,
    in_flight=2,
    allowed=3,
    service_time=timedelta(milliseconds=9),
    open=False,
)
CLAIM = Claim(
    KeyDigest('0' * 32),
    RequestId('r1'),
    'f' * 16,
    SENT_AT + timedelta(milliseconds=40),
)
RECORDED = Recorded(Outcome.PARTIAL, b'{}')
# The test of damaged frames uses entry 4, a refused claim.
MESSAGES = (
    CLAIM,
    Finish(CLAIM.key, CLAIM.request_id, RECORDED),
    Finish(CLAIM.key, CLAIM.request_id, recorded=None),
    Grant(CLAIM),
    Refuse(CLAIM, Outcome.OUTCOME_UNKNOWN, Reason.IN_PROGRESS),
    Repeat(CLAIM, RECORDED),
    Hello(HostId('h1'), DataCentreId('north'), Incarnation(3), '127.0.0.1:1'),
    Ping(7),
    Pong(8),
    SubQueryBatch((SUB,)),
    SubReplyBatch((REPLY,), (LOAD,)),
    CancelBatch((AttemptId('r1:4'), AttemptId('r1:5'))),
    LeaseRequest(
        Holder(HostId('h1'), Incarnation(9)),
        4,
        2**63 + 1,
        (TargetId('desk/a'), TargetId('desk/b')),
    ),
    LeaseReply(HostId('h2'), 4, (TargetId('desk/a'),)),
    LeaseRelease(
        Holder(HostId('h1'), Incarnation(9)),
        5,
        (TargetId('desk/a'),),
    ),
    Handover(TargetId('desk/a'), 3),
)


class CodecTest(unittest.TestCase):
    def test_decode_reverses_encode(self) -> None:
        for message in MESSAGES:
            with self.subTest(kind=type(message).__name__):
                self.assertEqual(
                    decode(encode(message, SENT_AT), SENT_AT),
                    message,
                )

    def test_deadlines_are_converted_to_the_receiver_clock(self) -> None:
        received = decode(
            encode(SubQueryBatch((SUB,)), SENT_AT),
            timedelta(seconds=5),
        )
        assert isinstance(received, SubQueryBatch)
        self.assertEqual(
            received.sub_queries[0].deadline,
            timedelta(seconds=5, milliseconds=250),
        )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_garbage_raises_only_bad_frame(self, garbage: bytes) -> None:
        try:
            decode(garbage, SENT_AT)
        except BadFrameError as error:
            self.assertEqual(error.code, 'bad_frame')

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.data())
    def test_damaged_frames_raise_only_bad_frame(
        self, data: st.DataObject
    ) -> None:
        whole = bytearray(encode(MESSAGES[4], SENT_AT))
        position = data.draw(st.integers(0, len(whole) - 1))
        whole[position] = data.draw(st.integers(0, 255))
        try:
            decode(bytes(whole), SENT_AT)
        except BadFrameError as error:
            self.assertEqual(error.code, 'bad_frame')


class FramingTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=50, deadline=None)
    @given(st.integers(1, 40))
    def test_frames_are_found_in_chunks_of_any_size(self, step: int) -> None:
        frames = [b'', b'one', b'twotwo' * 9]
        stream = b''.join(add_length_prefix(frame) for frame in frames)
        reader = FrameReader()
        found = [
            frame
            for start in range(0, len(stream), step)
            for frame in reader.feed(stream[start : start + step])
        ]
        self.assertEqual(found, frames)

    def test_an_oversized_length_is_refused(self) -> None:
        prefix = (MAX_FRAME_BYTES + 1).to_bytes(4, 'big')
        with self.assertRaises(OversizedFrameError):
            list(FrameReader().feed(prefix))

    def test_an_oversized_frame_is_not_sent(self) -> None:
        with self.assertRaises(OversizedFrameError):
            add_length_prefix(bytes(MAX_FRAME_BYTES + 1))
