import asyncio
import unittest
from datetime import timedelta

from almonddock_core.admission import AdmissionSettings
from almonddock_core.model import (
    Answer,
    Coverage,
    ManualClock,
    Outcome,
    Query,
    Reason,
    RequestId,
    Urgency,
    WorkloadId,
)
from almonddock_daemon.controllers import AdmissionController
from almonddock_daemon.filters import (
    AdmissionPorts,
    Exchange,
    RunningQueries,
    build_admission_filter,
    build_chain,
)
from almonddock_daemon.settings import LimitSettings
from almonddock_daemon.tests.test_requests import DEPLOYMENT

DEADLINE = timedelta(seconds=1)


def build_query(name: str, urgency: Urgency = Urgency.NORMAL) -> Query:
    return Query(
        RequestId(name),
        WorkloadId('desk'),
        b'',
        DEADLINE,
        urgency=urgency,
    )


class AdmissionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.stopping = False
        self.running = RunningQueries()
        self.started: list[str] = []
        self.release = asyncio.Event()

    def start(self, name: str, urgency: Urgency) -> asyncio.Task[Answer]:
        exchange = Exchange(build_query(name, urgency), arrived=timedelta())
        return asyncio.create_task(self.handle(exchange))  # type: ignore[arg-type]

    async def asyncSetUp(self) -> None:
        controller = AdmissionController(AdmissionSettings(), self.clock)
        # Even with one slot for three hosts, a host may run one query.
        controller.update(DEPLOYMENT, 3)
        admission = build_admission_filter(
            LimitSettings(queries=3),
            self.running,
            AdmissionPorts(
                controller.admit,
                controller.release,
                lambda: self.stopping,
            ),
            self.clock,
        )
        self.handle = build_chain([admission], self.answer)

    async def answer(self, exchange: Exchange) -> Answer:
        self.started.append(exchange.query.request_id)
        await self.release.wait()
        return Answer(
            exchange.query.request_id,
            Outcome.ANSWERED,
            Coverage(0, 0),
            None,
        )

    async def test_an_urgent_query_overtakes_an_archive_query(self) -> None:
        tasks = [
            self.start('first', Urgency.NORMAL),
            self.start('archive', Urgency.ARCHIVE),
            self.start('urgent', Urgency.URGENT),
        ]
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(self.started, ['first'])
        self.release.set()
        await asyncio.gather(*tasks)
        self.assertEqual(self.started, ['first', 'urgent', 'archive'])
        self.assertEqual(self.running.count, 0)

    async def test_too_many_queries_are_not_run(self) -> None:
        tasks = [self.start(str(one), Urgency.NORMAL) for one in range(4)]
        refused = await tasks[3]
        self.assertEqual(
            (refused.outcome, refused.reason),
            (Outcome.NOT_RUN, Reason.OVERLOADED),
        )
        self.release.set()
        await asyncio.gather(*tasks)

    async def test_a_waiting_query_past_its_deadline_is_refused(self) -> None:
        first = self.start('first', Urgency.NORMAL)
        late = self.start('late', Urgency.NORMAL)
        await asyncio.sleep(0)
        self.clock.advance(DEADLINE)
        self.release.set()
        await first
        refused = await late
        self.assertEqual(refused.reason, Reason.TIMED_OUT)
        self.assertEqual(self.started, ['first'])

    async def test_a_cancelled_query_frees_its_capacity(self) -> None:
        first = self.start('first', Urgency.NORMAL)
        waiting = self.start('gone', Urgency.NORMAL)
        await asyncio.sleep(0)
        for task in (waiting, first):
            task.cancel()
            await asyncio.wait([task])
        self.release.set()
        await self.start('next', Urgency.NORMAL)
        self.assertEqual(self.started, ['first', 'next'])

    async def test_a_stopping_host_refuses(self) -> None:
        self.stopping = True
        refused = await self.start('first', Urgency.NORMAL)
        self.assertEqual(refused.reason, Reason.SHUTTING_DOWN)
