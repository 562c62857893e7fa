"""Deployment files of the users' current installations.

:func:`build_kyushu` and :func:`build_gulf_south` return typed files;
:func:`write_files` writes them as JSON for ``almonddock publish``.
"""

import pathlib
from dataclasses import dataclass
from importlib import resources
from typing import Literal

from pydantic import TypeAdapter

from almonddock_core.deployment import (
    DataCentreEntry,
    DataCentresFile,
    MergeRule,
    ServiceFile,
    TargetEntry,
    VersionEntry,
)

LOOPBACK = '127.0.0.1'
KYUSHU_PORT = 21_000
GULF_SOUTH_PORT = 22_000
CENTRE_COUNT = 3


@dataclass(frozen=True, slots=True)
class DeploymentFiles:
    """All files of one deployment."""

    data_centres: DataCentresFile
    services: tuple[ServiceFile, ...]


@dataclass(frozen=True, slots=True)
class _Workload:
    """A workload of identical services with one shard each."""

    name: str
    services: int
    replicas: int
    slots: int
    connections: int
    connect_ms: float
    urgency: Literal['urgent', 'normal', 'archive']
    merge: MergeRule


def build_kyushu(first_port: int = KYUSHU_PORT) -> DeploymentFiles:
    """Returns the 110 targets of Kyushu on consecutive loopback ports."""
    return _build_deployment('kyushu', first_port)


def build_gulf_south(first_port: int = GULF_SOUTH_PORT) -> DeploymentFiles:
    """Returns the 107 targets of Gulf South on consecutive ports."""
    return _build_deployment('gulf-south', first_port)


def write_files(files: DeploymentFiles, folder: pathlib.Path) -> None:
    """Writes one JSON file per service and ``data-centres.json``."""
    folder.mkdir(parents=True, exist_ok=True)
    for service in files.services:
        path = folder / f'{service.service}.json'
        path.write_bytes(_SERVICE.dump_json(service, indent=2))
    path = folder / 'data-centres.json'
    path.write_bytes(_DATA_CENTRES.dump_json(files.data_centres, indent=2))


def _build_deployment(
    region: str,
    first_port: int,
) -> DeploymentFiles:
    services: list[ServiceFile] = []
    port = first_port
    for workload in _read_workloads(region):
        for number in range(workload.services):
            services.append(_build_service(region, workload, number, port))
            port += workload.replicas
    names = (f'{region}-{index + 1}' for index in range(CENTRE_COUNT))
    return DeploymentFiles(
        data_centres=DataCentresFile(
            data_centres=tuple(
                DataCentreEntry(name=name, region=region) for name in names
            ),
        ),
        services=tuple(services),
    )


def _read_workloads(region: str) -> tuple[_Workload, ...]:
    path = resources.files(__package__).joinpath('deployments.json')
    return _REGIONS.validate_json(path.read_bytes())[region]


def _build_service(
    region: str,
    workload: _Workload,
    number: int,
    first_port: int,
) -> ServiceFile:
    name = workload.name
    if workload.services > 1:
        name = f'{name}-{number + 1:02}'
    targets = tuple(
        TargetEntry(
            name=f'r{replica + 1}',
            address=f'{LOOPBACK}:{first_port + replica}',
            data_centre=f'{region}-{(number + replica) % CENTRE_COUNT + 1}',
            shards=('s0',),
            slots=workload.slots,
            connections=workload.connections,
            connect_ms=workload.connect_ms,
        )
        for replica in range(workload.replicas)
    )
    return ServiceFile(
        service=name,
        workload=workload.name,
        index_versions=(VersionEntry(version=1, shards=('s0',)),),
        targets=targets,
        merge=workload.merge,
        urgency=workload.urgency,
    )


_SERVICE = TypeAdapter(ServiceFile)
_DATA_CENTRES = TypeAdapter(DataCentresFile)
_REGIONS = TypeAdapter(dict[str, tuple[_Workload, ...]])
