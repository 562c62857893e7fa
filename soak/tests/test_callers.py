"""The balancer samples the readiness of hosts."""

import unittest
from datetime import timedelta

from almonddock_gateway.settings import Address
from almonddock_platform.tests.standins import LOOPBACK
from soak.callers import MAX_ROUND, Balancer, HostEndpoint

#: Nothing listens on the port of the discard service.
NOWHERE = Address(LOOPBACK, 9)
SHORTEST = timedelta(microseconds=1)


class BalancerTest(unittest.IsolatedAsyncioTestCase):
    async def count_samples(self, round_time: timedelta) -> int:
        times = iter((timedelta(), round_time))
        endpoint = HostEndpoint(0, NOWHERE, NOWHERE, int)
        balancer = Balancer([endpoint], lambda: next(times))
        await balancer.check_all()
        self.assertFalse(any(one.ready for one in balancer.samples))
        return len(balancer.samples)

    async def test_unready_host_is_sampled(self) -> None:
        self.assertEqual(await self.count_samples(MAX_ROUND), 1)

    async def test_round_that_was_held_up_is_no_sample(self) -> None:
        self.assertEqual(await self.count_samples(MAX_ROUND + SHORTEST), 0)


if __name__ == '__main__':
    unittest.main()
