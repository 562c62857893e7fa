"""Runs the soak for one or more seeds and prints a report for each."""

import asyncio
import random
import signal
from collections.abc import Iterator
from datetime import timedelta

import typer

from soak.regressions import load_cases
from soak.runs import RunReport, run_soak
from soak.settings import SoakSettings

#: Upper bound (exclusive) of the random first seed when none is given.
LARGEST_SEED = 1_000_000

#: Findings that are printed for one run.
MAX_PRINTED_FINDINGS = 5

#: Exit code after SIGTERM, by shell convention: 128 + 15.
EXIT_TERMINATED = 143

MILLISECOND = timedelta(milliseconds=1)

app = typer.Typer(
    help='Runs the system under injected faults and checks its guarantees.'
)


@app.command('run')
def run(
    seed: int = typer.Option(0, help='First seed; 0 draws a random one.'),
    runs: int = typer.Option(1, help='Number of runs, with consecutive seeds.'),
    seconds: float = typer.Option(
        20, help='Seconds during which faults are injected.'
    ),
    hosts: int = typer.Option(4, help='Number of hosts.'),
    rate: float = typer.Option(1, help='Faults per second.'),
    only: str = typer.Option(
        '', help='Kinds of faults, separated by commas; all if empty.'
    ),
) -> None:
    """Runs the seeds in sequence; exits with 1 if any run has a finding."""
    first = seed or random.SystemRandom().randrange(1, LARGEST_SEED)
    _run_all(
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
def run_regressions() -> None:
    """Runs every seed of regressions.json."""
    _run_all(case.make_settings() for case in load_cases())


def print_report(report: RunReport) -> None:
    """Prints a summary line and the first findings of a run.

    A file beside the logs gets all findings, and the delays of the soak itself,
    which may explain some.
    """
    statuses = ' '.join(
        f'{status}:{count}' for status, count in sorted(report.statuses.items())
    )
    lengths = (one.length for one in report.delays)
    delay = max(lengths, default=timedelta())
    typer.echo(
        f'seed {report.settings.seed}: {len(report.faults)} faults, '
        f'{report.calls} requests, {report.arrivals} sub-queries, '
        f'{statuses}, peak memory of a host {report.memory >> 20} MiB, '
        f'largest delay of the soak itself {delay // MILLISECOND} ms, '
        f'{len(report.findings)} findings, logs in {report.folder}',
    )
    lines = [
        f'{finding.promise}: {finding.subject} at '
        f'{finding.at.total_seconds():.3f} s: {finding.detail}'
        for finding in report.findings
    ]
    for line in lines[:MAX_PRINTED_FINDINGS]:
        typer.echo(f'  {line}')
    lines.extend(
        f'delay of the soak itself: {one.length // MILLISECOND} ms until '
        f'{one.until.total_seconds():.3f} s'
        for one in report.delays
    )
    (report.folder / 'findings.txt').write_text('\n'.join(lines))


def _run_all(all_settings: Iterator[SoakSettings]) -> None:
    found = False
    for settings in all_settings:
        try:
            report = asyncio.run(_run_until_terminated(settings))
        except asyncio.CancelledError:
            typer.echo(f'seed {settings.seed}: stopped', err=True)
            raise typer.Exit(EXIT_TERMINATED) from None
        print_report(report)
        found = found or bool(report.findings)
    raise typer.Exit(int(found))


async def _run_until_terminated(settings: SoakSettings) -> RunReport:
    """Executes one run; SIGTERM cancels it and ends its processes."""
    task = asyncio.create_task(run_soak(settings))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


if __name__ == '__main__':
    app()
