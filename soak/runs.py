"""Executes one run, from the schedule of its seed to its findings."""

import asyncio
import pathlib
import random
import tempfile
from collections import Counter
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from soak.callers import Balancer, Caller
from soak.injector import Injector
from soak.installation import Installation
from soak.observations import Call, Evidence
from soak.promises import Finding, check_all
from soak.schedule import Fault, draw_schedule
from soak.settings import OBSERVATION_TIME, WARM_UP, SoakSettings

#: How long a run waits for all hosts to become ready, in seconds.
START_TIMEOUT_S = 20

#: The pause between two checks of the balancer's ready hosts, in seconds.
POLL_INTERVAL_S = 0.05

#: The pause between two samples of the hosts' memory, in seconds.
MEMORY_INTERVAL_S = 0.5

#: The pause between two samples of the delay of the soak itself, in seconds.
DELAY_INTERVAL_S = 0.05


#: Shorter delays are not recorded.
MIN_DELAY = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class Delay:
    """A time in which the process of the soak itself did not go on."""

    until: timedelta
    length: timedelta


@dataclass(frozen=True, slots=True)
class RunReport:
    """A summary of one run and its findings."""

    settings: SoakSettings
    faults: Sequence[Fault]
    calls: int
    #: The number of answers by status; 0 counts requests without an answer.
    statuses: Counter[int]
    #: The number of requests that targets started to process.
    arrivals: int
    #: The largest resident memory of any host, in bytes.
    memory: int
    #: Long delays of the process that plays callers, targets and store: what it
    #: saw may be late by as much. Ordered by time.
    delays: Sequence[Delay]
    findings: Sequence[Finding]
    #: The folder that holds the logs of the hosts.
    folder: pathlib.Path


async def run_soak(settings: SoakSettings) -> RunReport:
    """Executes one run and always stops what it started."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{settings.seed}-'))
    run = _Run(settings, Installation(settings, folder))
    try:
        await run.execute()
    finally:
        await run.close()
    evidence = run.collect_evidence()
    return RunReport(
        settings=settings,
        faults=run.faults,
        calls=len(run.calls),
        statuses=Counter(
            call.answer.status if call.answer else 0 for call in run.calls
        ),
        arrivals=len(evidence.arrivals),
        memory=max(one.size_bytes for one in evidence.memory),
        delays=run.delays,
        findings=check_all(evidence, settings.promises),
        folder=folder,
    )


class _Run:
    """Holds the components of a run and the records that they produce."""

    def __init__(
        self,
        settings: SoakSettings,
        installation: Installation,
    ) -> None:
        self.faults: Sequence[Fault] = ()
        self.calls: list[Call] = []
        self.delays: list[Delay] = []
        self._settings = settings
        self._installation = installation
        self._injector = Injector(installation)
        self._balancer = Balancer([], installation.now)
        self._tasks: list[asyncio.Task[None]] = []
        self._last_fault_end = timedelta()

    async def execute(self) -> None:
        """Starts the system, injects all faults and observes the recovery."""
        settings = self._settings
        installation = self._installation
        await installation.start()
        balancer = self._balancer
        balancer.endpoints.extend(host.endpoint for host in installation.hosts)
        self._start_task(balancer.run())
        self._start_task(self._watch_memory())
        self._start_task(self._watch_delay())
        if not await _wait_for_hosts(balancer, settings.hosts):
            # The samples of the balancer show which host did not start.
            return
        self._start_callers(balancer)
        self.faults = draw_schedule(
            settings,
            len(installation.targets),
            installation.now() + WARM_UP,
        )
        injected = (self._injector.run(fault) for fault in self.faults)
        await asyncio.gather(*injected)
        self._last_fault_end = installation.now()
        watched = settings.promises.recovery + OBSERVATION_TIME
        await asyncio.sleep(watched.total_seconds())

    async def close(self) -> None:
        """Stops everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._installation.close()

    def collect_evidence(self) -> Evidence:
        """Returns the records of callers, targets, hosts and faults."""
        installation = self._installation
        processes = installation.list_processes()
        return Evidence(
            calls=self.calls,
            arrivals=installation.records.arrivals,
            spans=self._injector.spans,
            versions=installation.versions,
            leaving=installation.records.leaving,
            drained=installation.drained,
            cold=installation.records.cold,
            unlisted=installation.records.unlisted,
            rest_refusals=installation.records.rest_refusals,
            readiness=self._balancer.samples,
            stops=self._injector.stops,
            ends=[end for process in processes for end in process.ends],
            target_data_centres=installation.records.data_centres,
            errors=[(one.number, one.errors) for one in processes],
            memory=[process.memory for process in processes],
            last_fault_end=self._last_fault_end,
        )

    def _start_callers(self, balancer: Balancer) -> None:
        rng = random.Random(self._settings.seed + 2)
        for number in range(self._settings.callers):
            caller = Caller(
                number,
                balancer,
                random.Random(rng.random()),
                self._installation.now,
                self.calls.append,
            )
            self._start_task(caller.run())

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _watch_memory(self) -> None:
        while True:
            await asyncio.sleep(MEMORY_INTERVAL_S)
            for process in self._installation.list_processes():
                process.sample_memory()

    async def _watch_delay(self) -> None:
        while True:
            due = self._installation.now() + timedelta(seconds=DELAY_INTERVAL_S)
            await asyncio.sleep(DELAY_INTERVAL_S)
            now = self._installation.now()
            if now - due > MIN_DELAY:
                self.delays.append(Delay(now, now - due))


async def _wait_for_hosts(balancer: Balancer, hosts: int) -> bool:
    """Waits until all hosts are ready; returns whether they became so."""
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            while balancer.ready_count < hosts:
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        return False
    return True
