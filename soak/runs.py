"""One run, from its seed to its findings."""

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
from soak.settings import AFTERWARDS, WARM_UP, SoakSettings

#: How long a run waits for all hosts to serve at first, in seconds.
START_TIMEOUT_S = 20

#: The pause between two looks at the balancer's list, in seconds.
LOOK_PAUSE_S = 0.05

#: The pause between two looks at the memory of hosts, in seconds.
MEMORY_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class RunReport:
    """What one run did and found."""

    settings: SoakSettings
    faults: Sequence[Fault]
    calls: int
    #: Answers by status; 0 stands for none.
    statuses: Counter[int]
    #: Work that targets began.
    arrivals: int
    memory: int
    findings: Sequence[Finding]
    #: Where the logs of the hosts are.
    folder: pathlib.Path


async def play(settings: SoakSettings) -> RunReport:
    """Plays one run; always ends what it started."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{settings.seed}-'))
    run = _Run(settings, Installation(settings, folder))
    try:
        await run.play()
    finally:
        await run.close()
    evidence = run.gather()
    return RunReport(
        settings=settings,
        faults=run.faults,
        calls=len(run.calls),
        statuses=Counter(
            call.answer.status if call.answer else 0 for call in run.calls
        ),
        arrivals=len(evidence.arrivals),
        memory=evidence.memory,
        findings=check_all(evidence, settings.promises),
        folder=folder,
    )


class _Run:
    """The parts of a run, and what they have shown."""

    def __init__(
        self,
        settings: SoakSettings,
        installation: Installation,
    ) -> None:
        self.faults: Sequence[Fault] = ()
        self.calls: list[Call] = []
        self._settings = settings
        self._installation = installation
        self._injector = Injector(installation)
        self._tasks: list[asyncio.Task[None]] = []
        self._calm_since = timedelta()

    async def play(self) -> None:
        """Starts everything, injects all faults, and watches the recovery."""
        settings = self._settings
        installation = self._installation
        await installation.start()
        balancer = Balancer([host.endpoint for host in installation.hosts])
        self._start_task(balancer.run())
        self._start_task(self._watch_memory())
        await _wait_for_hosts(balancer, settings.hosts)
        self._start_callers(balancer)
        self.faults = draw_schedule(
            settings,
            len(installation.targets),
            installation.now() + WARM_UP,
        )
        injected = (self._injector.run(fault) for fault in self.faults)
        await asyncio.gather(*injected)
        self._calm_since = installation.now()
        watched = settings.promises.recovery + AFTERWARDS
        await asyncio.sleep(watched.total_seconds())

    async def close(self) -> None:
        """Ends everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._installation.close()

    def gather(self) -> Evidence:
        """Returns what callers and targets saw."""
        installation = self._installation
        processes = [host.process for host in installation.hosts]
        return Evidence(
            calls=self.calls,
            arrivals=installation.records.arrivals,
            spans=self._injector.spans,
            versions=installation.versions,
            leaving=installation.records.leaving,
            drained=installation.drained,
            cold=installation.records.cold,
            stops=self._injector.stops,
            ends=[end for process in processes for end in process.ends],
            places=installation.records.places,
            errors={
                number: process.errors
                for number, process in enumerate(processes)
            },
            memory=max(process.memory for process in processes),
            calm_since=self._calm_since,
        )

    def _start_callers(self, balancer: Balancer) -> None:
        chance = random.Random(self._settings.seed + 2)
        for number in range(self._settings.callers):
            caller = Caller(
                number,
                balancer,
                random.Random(chance.random()),
                self._installation.now,
                self.calls.append,
            )
            self._start_task(caller.run())

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _watch_memory(self) -> None:
        while True:
            await asyncio.sleep(MEMORY_PAUSE_S)
            for host in self._installation.hosts:
                host.process.note_memory()


async def _wait_for_hosts(balancer: Balancer, hosts: int) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while balancer.ready < hosts:
            await asyncio.sleep(LOOK_PAUSE_S)
