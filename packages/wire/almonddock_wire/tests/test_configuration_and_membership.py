import unittest
from datetime import timedelta

from almonddock_core.configuration import (
    ConfigurationHead,
    Digest,
    DocumentReply,
    DocumentRequest,
)
from almonddock_core.membership import Probe, ProbeReply, ProbeRequest
from almonddock_core.model import (
    DataCentreId,
    HostId,
    Incarnation,
    Member,
    MemberState,
    Revision,
)
from almonddock_wire import Message, decode, encode

NOW = timedelta(seconds=5)
A, B = HostId('a'), HostId('b')
HEAD = ConfigurationHead(Revision(7), Digest('ab'), timedelta(seconds=2))
NEWS = tuple(
    Member(B, DataCentreId('d'), '127.0.0.1:1', Incarnation(1 << 60), state)
    for state in MemberState
)
MESSAGES: tuple[Message, ...] = (
    HEAD,
    ConfigurationHead(),
    Probe(3, A, HEAD, NEWS, full=True),
    ProbeReply(4, A, HEAD, NEWS),
    ProbeRequest(5, A, B, HEAD, ()),
    DocumentRequest((Digest('x'), Digest('y'))),
    DocumentReply((b'{}', b''), (Digest('z'),)),
)


class ConfigurationAndMembershipTest(unittest.TestCase):
    def test_decode_reverses_encode(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=type(message).__name__):
                encoded = encode(message, NOW)
                self.assertEqual(decode(encoded, NOW), message)
