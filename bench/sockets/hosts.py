"""Measures kills, restarts and pauses of hosts under load."""

import asyncio
import signal
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import replace

import httpx

from almonddock_standins.deployments import build_kyushu
from bench import (
    Measurement,
    Series,
    experiment,
    limit_ratio,
    limit_value,
    note_value,
    require_value,
)
from bench.sockets.callers import (
    CUT,
    NOT_CONNECTED,
    Balancer,
    Caller,
    choose_round_robin,
)
from bench.sockets.changes import (
    CHANGE_S,
    COMMAND,
    QUERY,
    SEED,
    ChangeRun,
    build_coverage_series,
    build_latency_series,
    compute_load_rate,
    count_outcomes,
    name_subject,
    run_with_change,
)
from bench.sockets.fleet import DaemonProcess, Fleet, run_fleet
from bench.sockets.load import (
    LoadSettings,
    QueryRecord,
    measure_answered,
    run_load,
    select_records,
)

SECONDS = 120
KILL_RUN_S = 18.0
RECOVERY_S = 3.0
ANSWERED_BOUND = 0.999
P99_BOUND = 1.5
RESTART_RUN_S = 30.0
RESTART_PAUSE_S = 1.0
PAUSE_S = 5.0
PAUSE_RUN_S = 16.0
#: The wait for work that was running when a host was paused.
PAUSED_WORK_S = 0.5


@experiment('kill', seconds=SECONDS)
def measure_kill() -> Iterator[Measurement | Series]:
    """One host of four is killed: answers through the others, p99 after."""
    yield from asyncio.run(_measure_kill())


async def _measure_kill() -> list[Measurement | Series]:
    async with run_fleet(build_kyushu()) as fleet:
        *others, killed = fleet.hosts

        async def kill() -> None:
            killed.send_signal(signal.SIGKILL)
            await killed.wait()

        caller = Caller(QUERY, choose_round_robin(others))
        changed = await run_with_change(fleet, caller, KILL_RUN_S, kill)
    after = select_records(changed.records, CHANGE_S, KILL_RUN_S)
    recovered = CHANGE_S + RECOVERY_S
    return [
        require_value(
            name_subject('kill.answered'),
            measure_answered(after),
            'share',
            bound=ANSWERED_BOUND,
        ),
        limit_ratio(
            name_subject('kill.p99-after-3s'),
            changed.measure_p99(recovered, KILL_RUN_S),
            'ms',
            baseline=changed.steady_p99,
            bound=P99_BOUND,
        ),
        note_value(
            name_subject('kill.p99-first-3s'),
            changed.measure_p99(CHANGE_S, recovered),
            'ms',
            baseline=changed.steady_p99,
        ),
        build_latency_series('kill', changed.records),
        build_coverage_series('kill', changed.records),
    ]


@experiment('rolling-restart', seconds=SECONDS)
def measure_rolling_restart() -> Iterator[Measurement | Series]:
    """All hosts restart in turn behind a balancer: cut requests, p99."""
    yield from asyncio.run(_measure_restart())


async def _measure_restart() -> list[Measurement | Series]:
    codes: list[int] = []
    async with run_fleet(build_kyushu()) as fleet:
        balancer = Balancer(fleet.hosts)

        async def restart_all() -> None:
            for host in fleet.hosts:
                codes.append(await _restart(host))

        caller = Caller(QUERY, balancer.choose)
        async with balancer.watch():
            changed = await run_with_change(
                fleet,
                caller,
                RESTART_RUN_S,
                restart_all,
            )
    return [
        *_report_restart(changed, codes),
        build_latency_series('rolling-restart', changed.records),
        build_coverage_series('rolling-restart', changed.records),
    ]


async def _restart(host: DaemonProcess) -> int:
    host.send_signal(signal.SIGTERM)
    code = await host.wait()
    await host.start()
    await host.wait_ready()
    await asyncio.sleep(RESTART_PAUSE_S)
    return code


def _report_restart(
    changed: ChangeRun,
    codes: Sequence[int],
) -> Iterable[Measurement]:
    during = select_records(changed.records, CHANGE_S, changed.ended)
    yield limit_value(
        name_subject('rolling-restart.cut'),
        count_outcomes(changed.records, (CUT,)),
        'requests',
        bound=0,
    )
    yield limit_value(
        name_subject('rolling-restart.exit-codes-other-than-0'),
        sum(code != 0 for code in codes),
        'hosts',
        bound=0,
    )
    yield limit_ratio(
        name_subject('rolling-restart.p99'),
        changed.measure_p99(CHANGE_S, changed.ended),
        'ms',
        baseline=changed.steady_p99,
        bound=P99_BOUND,
    )
    yield note_value(
        name_subject('rolling-restart.answered'),
        measure_answered(during),
        'share',
    )
    yield note_value(
        name_subject('rolling-restart.not-connected'),
        count_outcomes(changed.records, (NOT_CONNECTED,)),
        'requests',
    )


@experiment('pause', seconds=SECONDS)
def measure_pause() -> Iterator[Measurement | Series]:
    """One host is paused for 5 s: duplicate runs, load on cold targets."""
    yield from asyncio.run(_measure_pause())


async def _measure_pause() -> list[Measurement | Series]:
    async with run_fleet(build_kyushu()) as fleet:
        others = fleet.hosts[:-1]

        async def pause() -> None:
            await _pause(fleet)

        non_idempotent_caller = Caller(
            replace(QUERY, idempotent=False), choose_round_robin(others)
        )
        settings = LoadSettings(
            compute_load_rate(fleet) / 4, PAUSE_RUN_S, SEED + 1
        )
        caller = Caller(QUERY, choose_round_robin(others))
        changed, non_idempotent = await asyncio.gather(
            run_with_change(fleet, caller, PAUSE_RUN_S, pause),
            run_load(settings, non_idempotent_caller.ask),
        )
        runs = await fleet.count_runs(COMMAND)
        above_cold_limit = await fleet.count_all('over_cold')
    return [
        *_report_pause(
            changed, _count_duplicates(non_idempotent, runs), above_cold_limit
        ),
        build_latency_series('pause', changed.records),
        build_coverage_series('pause', changed.records),
    ]


async def _pause(fleet: Fleet) -> None:
    """Pauses the last host; the targets it owned restart cold meanwhile."""
    paused = fleet.hosts[-1]
    async with httpx.AsyncClient(trust_env=False) as client:
        status = await client.get(f'http://{paused.http}/v1/status')
        owned = {one['target'] for one in status.json()['targets']}
        paused.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PAUSED_WORK_S)
        for service in fleet.files.services:
            for entry in service.targets:
                if f'{service.service}/{entry.name}' in owned:
                    url = f'http://{entry.address}/fault'
                    await client.post(url, json={'cold': True})
    await asyncio.sleep(PAUSE_S - PAUSED_WORK_S)
    paused.send_signal(signal.SIGCONT)


def _report_pause(
    changed: ChangeRun,
    duplicates: int,
    above_cold_limit: int,
) -> Iterable[Measurement]:
    after = select_records(changed.records, CHANGE_S, PAUSE_RUN_S)
    yield require_value(
        name_subject('pause.answered'),
        measure_answered(after),
        'share',
        bound=ANSWERED_BOUND,
    )
    yield limit_value(
        name_subject('pause.doubled-non-idempotent'),
        duplicates,
        'sub-queries',
        bound=0,
    )
    yield limit_value(
        name_subject('pause.over-cold'),
        above_cold_limit,
        'sub-queries',
        bound=0,
    )
    yield note_value(
        name_subject('pause.p99'),
        changed.measure_p99(CHANGE_S, PAUSE_RUN_S),
        'ms',
        baseline=changed.steady_p99,
    )


def _count_duplicates(
    records: Iterable[QueryRecord], runs: Mapping[str, int]
) -> int:
    request_ids = {one.reply.request_id for one in records}
    return sum(
        count > 1
        for name, count in runs.items()
        if name.partition('/')[0] in request_ids
    )
