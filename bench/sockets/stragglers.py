"""Tail latency over sockets with 1% of sub-queries twenty times slower.

The median service time, ``MEDIAN_MS``, is longer than that of the users'
targets: otherwise the CPU of this machine would be the limit, not the slots.
"""

import asyncio
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from almonddock_core.deployment import ServiceFile
from almonddock_standins.deployments import (
    DeploymentFiles,
    build_gulf_south,
    build_kyushu,
)
from bench import (
    Measurement,
    Subject,
    experiment,
    limit_ratio,
    limit_value,
    note_value,
)
from bench.sockets.baseline import FixedShares
from bench.sockets.callers import Caller, QuerySettings, choose_round_robin
from bench.sockets.fleet import Fleet, run_fleet
from bench.sockets.load import (
    LoadSettings,
    QueryRecord,
    measure_answered,
    measure_p99,
    run_load,
)
from bench.sockets.processes import read_cpu_seconds
from bench.sockets.shape import (
    STRAGGLER_SHARE,
    compute_rate,
    list_services,
)
from bench.sockets.target_process import Command

SEED = 12
LOADS = (0.3, 0.6, 0.8)
MEDIAN_MS = 80
DEADLINE_MS = 4000
RUN_S = 9
BASELINE_S = 5
WARM_UP = LoadSettings(rate=20, seconds=2, seed=2)
LIMIT_S = 240
#: The limits of the p99 over that of a clean run, which has no stragglers: at
#: all loads but the highest, and at the highest.
CLEAN_BOUND = 1.5
CLEAN_BOUND_HIGH = 2.2
BASELINE_BOUND = 0.15
EXTRA_BOUND = 0.05
STRAGGLERS = Command(MEDIAN_MS, STRAGGLER_SHARE)


@dataclass(frozen=True, slots=True)
class _TierRun:
    """One run of a load through the hosts."""

    records: Sequence[QueryRecord]
    #: Sub-queries that the targets received.
    received: int
    #: CPU seconds per second of each host, on average.
    cpu: float

    @property
    def p99(self) -> float:
        """The 99th percentile in milliseconds."""
        return measure_p99(self.records)

    @property
    def extra(self) -> float:
        """Sub-queries beyond one per shard, as a share."""
        shards = sum(one.reply.shards for one in self.records)
        return self.received / shards - 1


@experiment('socket-stragglers-parts-desk', seconds=LIMIT_S)
def measure_parts_desk() -> Iterator[Measurement]:
    """Kyushu: p99 over sockets with and without stragglers."""
    yield from asyncio.run(_measure(build_kyushu(), 'parts-desk'))


@experiment('socket-stragglers-counter-desk', seconds=LIMIT_S)
def measure_counter_desk() -> Iterator[Measurement]:
    """Gulf South: p99 over sockets with and without stragglers."""
    yield from asyncio.run(_measure(build_gulf_south(), 'counter-desk'))


async def _measure(files: DeploymentFiles, name: str) -> list[Measurement]:
    found: list[Measurement] = []
    async with run_fleet(files) as fleet:
        query = QuerySettings(name, DEADLINE_MS)
        caller = Caller(query, choose_round_robin(fleet.hosts))
        services = list_services(fleet.files.services, name)
        for load in LOADS:
            rate = compute_rate(services, load, MEDIAN_MS)
            settings = LoadSettings(rate, RUN_S, SEED)
            clean = await _run_tier(fleet, caller, settings, Command(MEDIAN_MS))
            tier = await _run_tier(fleet, caller, settings, STRAGGLERS)
            subject = Subject(f'socket-stragglers.{load:.0%}', name, SEED)
            found.extend(_compare(subject, load, clean, tier))
            for spread in (False, True):
                p99 = await _run_baseline(services, rate, spread=spread)
                found.append(_compare_baseline(subject, tier, p99, spread))
    return found


async def _run_tier(
    fleet: Fleet,
    caller: Caller,
    settings: LoadSettings,
    command: Command,
) -> _TierRun:
    await fleet.send_command(command)
    await run_load(WARM_UP, caller.ask)
    received = await fleet.count_all('received')
    cpu = _sum_cpu_seconds(fleet)
    records = await run_load(settings, caller.ask)
    return _TierRun(
        records,
        await fleet.count_all('received') - received,
        (_sum_cpu_seconds(fleet) - cpu) / settings.seconds / len(fleet.hosts),
    )


def _sum_cpu_seconds(fleet: Fleet) -> float:
    return sum(read_cpu_seconds(host.pid) for host in fleet.hosts)


async def _run_baseline(
    services: Sequence[ServiceFile],
    rate: float,
    *,
    spread: bool,
) -> float:
    baseline = FixedShares(services, DEADLINE_MS, spread=spread)
    records = await run_load(LoadSettings(rate, BASELINE_S, SEED), baseline.ask)
    baseline.close()
    return measure_p99(records)


def _compare(
    subject: Subject,
    load: float,
    clean: _TierRun,
    tier: _TierRun,
) -> Iterator[Measurement]:
    yield limit_ratio(
        _extend_subject(subject, 'over-clean'),
        tier.p99,
        'ms',
        baseline=clean.p99,
        bound=CLEAN_BOUND if load < max(LOADS) else CLEAN_BOUND_HIGH,
    )
    yield limit_value(
        _extend_subject(subject, 'extra-load'),
        tier.extra,
        'share',
        bound=EXTRA_BOUND,
    )
    whole = measure_answered(tier.records)
    yield note_value(_extend_subject(subject, 'whole-answers'), whole, 'share')
    yield note_value(_extend_subject(subject, 'host-cpu'), tier.cpu, 'cores')


def _compare_baseline(
    subject: Subject,
    tier: _TierRun,
    p99: float,
    spread: bool,
) -> Measurement:
    label = 'spread' if spread else 'first'
    return limit_ratio(
        _extend_subject(subject, f'over-{label}-replica'),
        tier.p99,
        'ms',
        baseline=p99,
        bound=BASELINE_BOUND,
    )


def _extend_subject(subject: Subject, part: str) -> Subject:
    return Subject(
        f'{subject.experiment}.{part}',
        subject.deployment,
        subject.seed,
    )
