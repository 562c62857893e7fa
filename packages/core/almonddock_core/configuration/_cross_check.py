"""Faults that a single value cannot show: within and between files."""

import ipaddress
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from almonddock_core.deployment import (
    DataCentresFile,
    ServiceFile,
    TargetEntry,
)
from almonddock_core.model import Finding, build_pointer

_MAX_PORT = 65_535
_TARGETS = 'targets'


@dataclass(frozen=True, slots=True)
class NamedService:
    """A service and the file that it was read from."""

    file: str
    service: ServiceFile

    def find(self, code: str, message: str, *path: str | int) -> Finding:
        """Returns a finding at a path of this file."""
        return Finding(self.file, build_pointer(path), code, message)


def find_cross_faults(
    services: Sequence[NamedService],
    data_centres: DataCentresFile | None,
) -> list[Finding]:
    """Returns every fault between values, files and data centres."""
    findings = [
        finding
        for named in services
        for check in (_check_versions, _check_targets, _check_rules)
        for finding in check(named)
    ]
    findings.extend(_check_service_names(services))
    findings.extend(_check_addresses(services))
    findings.extend(_check_workloads(services))
    if data_centres is not None:
        findings.extend(_check_data_centres(services, data_centres))
    return findings


def _check_versions(named: NamedService) -> Iterator[Finding]:
    held = {
        shard for target in named.service.targets for shard in target.shards
    }
    versions = [entry.version for entry in named.service.index_versions]
    for index in _find_repeated(versions):
        yield named.find(
            'version_used_twice',
            f'version {versions[index]} stands above already',
            'index_versions',
            index,
            'version',
        )
    for number, entry in enumerate(named.service.index_versions):
        path = ('index_versions', number, 'shards')
        yield from _check_shards(named, entry.shards, path)
        for position, shard in enumerate(entry.shards):
            if shard not in held:
                yield named.find(
                    'shard_without_target',
                    f'no target holds shard {shard}',
                    *path,
                    position,
                )


def _check_targets(named: NamedService) -> Iterator[Finding]:
    known = {
        shard
        for entry in named.service.index_versions
        for shard in entry.shards
    }
    names = [target.name for target in named.service.targets]
    for index in _find_repeated(names):
        yield named.find(
            'target_used_twice',
            f'target {names[index]} stands above already',
            _TARGETS,
            index,
            'name',
        )
    for number, target in enumerate(named.service.targets):
        path = (_TARGETS, number, 'shards')
        yield from _check_shards(named, target.shards, path)
        yield from _check_limits(named, number, target)
        for position, shard in enumerate(target.shards):
            if shard not in known:
                yield named.find(
                    'unknown_shard',
                    f'shard {shard} is in no index version of the service',
                    *path,
                    position,
                )


def _check_shards(
    named: NamedService,
    shards: Sequence[str],
    path: Sequence[str | int],
) -> Iterator[Finding]:
    for index in _find_repeated(shards):
        yield named.find(
            'shard_used_twice',
            f'shard {shards[index]} stands above already',
            *path,
            index,
        )


def _check_limits(
    named: NamedService,
    number: int,
    target: TargetEntry,
) -> Iterator[Finding]:
    if target.slots > target.connections:
        yield named.find(
            'limit_below_need',
            f'{target.slots} slots need as many connections, '
            f'found {target.connections}',
            _TARGETS,
            number,
            'connections',
        )
    if target.cold_slots > target.slots:
        yield named.find(
            'limit_below_need',
            f'expected at most {target.slots} slots in a cold start, '
            f'found {target.cold_slots}',
            _TARGETS,
            number,
            'cold_slots',
        )
    if not _is_address(target.address):
        yield named.find(
            'invalid_address',
            f'expected an IP number and a port, found {target.address}',
            _TARGETS,
            number,
            'address',
        )


def _check_rules(named: NamedService) -> Iterator[Finding]:
    service = named.service
    if service.deadline_ms > service.max_deadline_ms:
        yield named.find(
            'limit_below_need',
            f'the default deadline of {service.deadline_ms} ms is longer '
            f'than the longest of {service.max_deadline_ms} ms',
            'deadline_ms',
        )
    merge = service.merge
    needs_field = merge.kind in {'top_k', 'sum'}
    if needs_field != (merge.field is not None):
        expected = 'a field' if needs_field else 'no field'
        yield named.find(
            'invalid_merge',
            f'{merge.kind} takes {expected}',
            'merge',
            'field',
        )
    if (merge.kind == 'top_k') != (merge.limit is not None):
        expected = 'a limit' if merge.kind == 'top_k' else 'no limit'
        yield named.find(
            'invalid_merge',
            f'{merge.kind} takes {expected}',
            'merge',
            'limit',
        )


def _check_service_names(
    services: Sequence[NamedService],
) -> Iterator[Finding]:
    names = [named.service.service for named in services]
    for index in _find_repeated(names):
        first = services[names.index(names[index])].file
        yield services[index].find(
            'service_used_twice',
            f'service {names[index]} is in {first} already',
            'service',
        )


def _check_addresses(services: Sequence[NamedService]) -> Iterator[Finding]:
    users: dict[str, str] = {}
    for named in services:
        for number, target in enumerate(named.service.targets):
            place = build_pointer((_TARGETS, number, 'address'))
            user = users.setdefault(target.address, f'{named.file}#{place}')
            if user != f'{named.file}#{place}':
                yield named.find(
                    'address_used_twice',
                    f'{target.address} is in {user} already',
                    _TARGETS,
                    number,
                    'address',
                )


def _check_workloads(services: Sequence[NamedService]) -> Iterator[Finding]:
    workloads: dict[str, list[NamedService]] = defaultdict(list)
    for named in services:
        workloads[named.service.workload].append(named)
    for workload, members in sorted(workloads.items()):
        first = members[0]
        for named in members[1:]:
            if named.service.merge != first.service.merge:
                yield named.find(
                    'merge_differs',
                    f'workload {workload} merges otherwise in {first.file}',
                    'merge',
                )
        yield from _check_common_version(workload, members)


def _check_common_version(
    workload: str,
    members: Sequence[NamedService],
) -> Iterator[Finding]:
    common: set[int] = set()
    for number, named in enumerate(members):
        versions = {entry.version for entry in named.service.index_versions}
        remaining = common & versions if number else versions
        if number and not remaining:
            yield named.find(
                'no_common_version',
                f'workload {workload} needs one version in every service; '
                f'the files before have {sorted(common)}',
                'index_versions',
            )
            return
        common = remaining


def _check_data_centres(
    services: Sequence[NamedService],
    data_centres: DataCentresFile,
) -> Iterator[Finding]:
    names = [entry.name for entry in data_centres.data_centres]
    for index in _find_repeated(names):
        yield Finding(
            'data-centres.json',
            build_pointer(('data_centres', index, 'name')),
            'data_centre_used_twice',
            f'data centre {names[index]} stands above already',
        )
    for named in services:
        for number, target in enumerate(named.service.targets):
            if target.data_centre not in names:
                yield named.find(
                    'unknown_data_centre',
                    f'expected one of {", ".join(sorted(set(names)))}, '
                    f'found {target.data_centre}',
                    _TARGETS,
                    number,
                    'data_centre',
                )


def _find_repeated(values: Iterable[object]) -> Iterator[int]:
    seen: set[object] = set()
    for index, one in enumerate(values):
        if one in seen:
            yield index
        seen.add(one)


def _is_address(text: str) -> bool:
    number, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(number.strip('[]'))
    except ValueError:
        return False
    return 0 < int(port) <= _MAX_PORT
