import unittest
from dataclasses import replace

from almonddock_core.owners import ConnectionLimiter, ConnectionSettings
from almonddock_core.tests.owner_cases import START, make_target, millis


class ConnectionLimiterTest(unittest.TestCase):
    def setUp(self) -> None:
        entry = replace(make_target().entry, connections=3, connect_ms=6)
        self.limiter = ConnectionLimiter(entry, ConnectionSettings())

    def test_spaces_and_limits_new_connections(self) -> None:
        connect_times = [self.limiter.reserve(START) for _ in range(4)]
        self.assertEqual(
            connect_times,
            [START, START + millis(6), START + millis(12), None],
        )
        self.limiter.free()
        self.assertEqual(self.limiter.reserve(START), START + millis(18))

    def test_finds_a_connection_that_others_overtake(self) -> None:
        cases = (
            (3, True, 1000, ('stuck',)),
            (3, True, 999, ()),
            (2, True, 1000, ()),
            (9, False, 1000, ()),
        )
        for count, answered, at, expected in cases:
            with self.subTest(count=count, answered=answered, at=at):
                self.setUp()
                self.limiter.begin('stuck', START)
                for number in range(count):
                    self.limiter.begin('other', START + millis(number + 1))
                    self.limiter.end('other', answered=answered)
                found = self.limiter.find_unresponsive(START + millis(at))
                self.assertEqual(found, expected)

    def test_replies_to_earlier_requests_are_not_counted(self) -> None:
        for name in 'abc':
            self.limiter.begin(name, START)
        self.limiter.begin('late', START + millis(1))
        for name in 'abc':
            self.limiter.end(name, answered=True)
        self.assertEqual(
            self.limiter.find_unresponsive(START + millis(5000)), ()
        )


if __name__ == '__main__':
    unittest.main()
