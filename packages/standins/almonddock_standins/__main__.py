"""Command line that runs stand-ins until the process is stopped."""

import asyncio
import pathlib
from collections.abc import Iterable
from datetime import timedelta
from typing import Annotated, Protocol

import typer
from pydantic import TypeAdapter

from almonddock_core.deployment import ServiceFile
from almonddock_standins._host_list import HostEntry, StandInHostList
from almonddock_standins.deployments import build_kyushu, write_files
from almonddock_standins.store import StandInStore
from almonddock_standins.target import (
    ServiceTimes,
    StandInTarget,
    TargetSettings,
    build_settings,
)

app = typer.Typer(help='Stand-ins for targets, store and host list.')

STORE_ADDRESS = '127.0.0.1:2379'
HOST_LIST_ADDRESS = '127.0.0.1:2380'

Median = Annotated[float, typer.Option(help='Median service time in ms.')]


class _StandIn(Protocol):
    async def start(self) -> str: ...


@app.command()
def target(
    address: str = '127.0.0.1:0',
    shard: str = 'demo/s0',
    slots: int = 3,
    median_ms: Median = 10,
) -> None:
    """Runs one target."""
    settings = TargetSettings(
        name='target',
        shards=frozenset((shard,)),
        address=address,
        slots=slots,
        service_times=_build_service_times(median_ms),
    )
    _serve([StandInTarget(settings)])


@app.command()
def targets(files: list[pathlib.Path], median_ms: Median = 10) -> None:
    """Runs every target of the given service files."""
    adapter = TypeAdapter(ServiceFile)
    services = [adapter.validate_json(path.read_bytes()) for path in files]
    _serve(_build_targets(services, _build_service_times(median_ms)))


@app.command()
def store(address: str = STORE_ADDRESS) -> None:
    """Runs the store."""
    _serve([StandInStore(address)])


@app.command()
def host_list(file: pathlib.Path, address: str = HOST_LIST_ADDRESS) -> None:
    """Runs the host list from a JSON array of entries."""
    entries = TypeAdapter(list[HostEntry]).validate_json(file.read_bytes())
    _serve([StandInHostList(entries, address)])


@app.command()
def kyushu(
    files: Annotated[
        pathlib.Path | None,
        typer.Option(help='Folder to write the deployment files to.'),
    ] = None,
    median_ms: Median = 10,
) -> None:
    """Runs the store and all 110 targets of the Kyushu deployment."""
    deployment = build_kyushu()
    if files is not None:
        write_files(deployment, files)
    _serve(
        [
            StandInStore(STORE_ADDRESS),
            *_build_targets(
                deployment.services, _build_service_times(median_ms)
            ),
        ],
    )


def _build_service_times(median_ms: float) -> ServiceTimes:
    return ServiceTimes(median=timedelta(milliseconds=median_ms))


def _build_targets(
    services: Iterable[ServiceFile],
    times: ServiceTimes,
) -> list[StandInTarget]:
    return [
        StandInTarget(build_settings(service, entry, times))
        for service in services
        for entry in service.targets
    ]


def _serve(standins: Iterable[_StandIn]) -> None:
    asyncio.run(_run(standins))


async def _run(standins: Iterable[_StandIn]) -> None:
    for standin in standins:
        typer.echo(await standin.start())
    await asyncio.Event().wait()


if __name__ == '__main__':
    app()
