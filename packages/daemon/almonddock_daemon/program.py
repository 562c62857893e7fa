"""The program ``almonddockd``."""

import asyncio
import gc
import pathlib
import signal
import sys
from typing import Annotated

import typer

from almonddock_core.model import FindingsError
from almonddock_daemon._host import Host
from almonddock_daemon.settings import HostSettings, load_settings
from almonddock_daemon.telemetry import LOG, start_logs

EXIT_CANNOT_LISTEN = 1
EXIT_INVALID_SETTINGS = 2

#: Net allocations between collections of the youngest generation.
GC_THRESHOLD = 50_000

APPLICATION = typer.Typer(add_completion=False)


@APPLICATION.command()
def start(
    settings: Annotated[
        pathlib.Path,
        typer.Option(help='The JSON file with the settings of this host.'),
    ],
    check_settings: Annotated[
        bool,
        typer.Option(
            '--check-settings',
            help='Check the file, report every fault and start nothing.',
        ),
    ] = False,
) -> None:
    """Run one host of the query tier until SIGTERM or SIGINT."""
    try:
        checked = load_settings(settings)
    except FindingsError as error:
        typer.echo(error.message, err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    if check_settings:
        typer.echo(f'{settings}: no faults found')
        return
    start_logs(checked.logs.level, checked.host, checked.data_centre)
    gc.set_threshold(GC_THRESHOLD)
    try:
        asyncio.run(_serve(checked))
    except OSError as fault:
        LOG.error('listen_failed', message=str(fault))
        sys.exit(EXIT_CANNOT_LISTEN)


async def _serve(settings: HostSettings) -> None:
    host = Host(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, host.stop)
    loop.add_signal_handler(signal.SIGINT, host.stop)
    await host.run()


def run() -> None:
    """Runs the program; the entry point of the ``almonddockd`` script."""
    APPLICATION()


if __name__ == '__main__':
    run()
