"""Plays seeds and prints a row for each."""

import asyncio
import random
import signal
from collections.abc import Iterator
from datetime import timedelta

import typer

from soak.regressions import load_cases
from soak.runs import RunReport, play
from soak.settings import SoakSettings

#: Seeds that are drawn when none is given.
LARGEST_SEED = 1_000_000

#: Findings that a row names.
NAMED = 5

#: The exit code after a request to stop, as shells have it.
STOPPED = 143

app = typer.Typer(help='Plays runs with faults and checks the promises.')


@app.command('run')
def run(
    seed: int = typer.Option(0, help='The first seed; 0 draws one.'),
    runs: int = typer.Option(1, help='Runs, with seeds that follow.'),
    seconds: float = typer.Option(20, help='For how long faults come.'),
    hosts: int = typer.Option(4, help='Hosts of the system.'),
    rate: float = typer.Option(1, help='Faults a second.'),
    only: str = typer.Option('', help='Kinds of faults, by commas.'),
) -> None:
    """Plays runs one after the other; exits with 1 after a finding."""
    first = seed or random.SystemRandom().randrange(1, LARGEST_SEED)
    _play_all(
        SoakSettings(
            seed=number,
            fault_time=timedelta(seconds=seconds),
            hosts=hosts,
            fault_rate=rate,
            kinds=tuple(only.split(',')) if only else (),
        )
        for number in range(first, first + runs)
    )


@app.command('regressions')
def play_regressions() -> None:
    """Plays every seed that found something once."""
    _play_all(
        SoakSettings(seed=case.seed, fault_rate=case.rate)
        for case in load_cases()
    )


def print_report(report: RunReport) -> None:
    """Prints one row, and the first findings below it."""
    statuses = ' '.join(
        f'{status}:{count}' for status, count in sorted(report.statuses.items())
    )
    typer.echo(
        f'seed {report.settings.seed}: {len(report.faults)} faults, '
        f'{report.calls} requests, {report.arrivals} sub-queries, '
        f'{statuses}, {report.memory >> 20} MiB a host at most, '
        f'{len(report.findings)} findings, logs in {report.folder}',
    )
    for finding in report.findings[:NAMED]:
        typer.echo(
            f'  {finding.promise}: {finding.subject} at '
            f'{finding.at.total_seconds():.3f} s: {finding.detail}',
        )


def _play_all(all_settings: Iterator[SoakSettings]) -> None:
    found = False
    for settings in all_settings:
        try:
            report = asyncio.run(_play_until_stopped(settings))
        except asyncio.CancelledError:
            typer.echo(f'seed {settings.seed}: stopped', err=True)
            raise typer.Exit(STOPPED) from None
        print_report(report)
        found = found or bool(report.findings)
    raise typer.Exit(int(found))


async def _play_until_stopped(settings: SoakSettings) -> RunReport:
    """Plays one run; a request to stop ends what it started."""
    task = asyncio.create_task(play(settings))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


if __name__ == '__main__':
    app()
