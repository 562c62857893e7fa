"""Checks consistency between the values of one file and across files."""

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
    """A service and the name of the file that defines it."""

    file: str
    service: ServiceFile

    def build_finding(
        self, code: str, message: str, *path: str | int
    ) -> Finding:
        """Returns a finding at a path in this file."""
        return Finding(self.file, build_pointer(path), code, message)


def find_cross_faults(
    services: Sequence[NamedService],
    data_centres: DataCentresFile | None,
) -> list[Finding]:
    """Returns the inconsistencies between values, files and data centres."""
    findings = [
        finding
        for named in services
        for check in (
            _check_versions,
            _check_targets,
            _check_deadline_and_merge,
        )
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
    for index in _find_duplicates(versions):
        yield named.build_finding(
            'version_used_twice',
            f'version {versions[index]} is already listed above',
            'index_versions',
            index,
            'version',
        )
    for number, entry in enumerate(named.service.index_versions):
        path = ('index_versions', number, 'shards')
        yield from _check_shards(named, entry.shards, path)
        for position, shard in enumerate(entry.shards):
            if shard not in held:
                yield named.build_finding(
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
    for index in _find_duplicates(names):
        yield named.build_finding(
            'target_used_twice',
            f'target {names[index]} is already listed above',
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
                yield named.build_finding(
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
    for index in _find_duplicates(shards):
        yield named.build_finding(
            'shard_used_twice',
            f'shard {shards[index]} is already listed above',
            *path,
            index,
        )


def _check_limits(
    named: NamedService,
    number: int,
    target: TargetEntry,
) -> Iterator[Finding]:
    if target.slots > target.connections:
        yield named.build_finding(
            'limit_below_need',
            f'{target.slots} slots need at least as many connections, '
            f'found {target.connections}',
            _TARGETS,
            number,
            'connections',
        )
    if target.cold_slots > target.slots:
        yield named.build_finding(
            'limit_below_need',
            f'expected at most {target.slots} slots during a cold start, '
            f'found {target.cold_slots}',
            _TARGETS,
            number,
            'cold_slots',
        )
    if not _is_address(target.address):
        yield named.build_finding(
            'invalid_address',
            f'expected an IP address and a port, found {target.address}',
            _TARGETS,
            number,
            'address',
        )


def _check_deadline_and_merge(named: NamedService) -> Iterator[Finding]:
    service = named.service
    if service.deadline_ms > service.max_deadline_ms:
        yield named.build_finding(
            'limit_below_need',
            f'the default deadline of {service.deadline_ms} ms exceeds '
            f'the maximum of {service.max_deadline_ms} ms',
            'deadline_ms',
        )
    merge = service.merge
    needs_field = merge.kind in {'top_k', 'sum'}
    if needs_field != (merge.field is not None):
        expected = 'a field' if needs_field else 'no field'
        yield named.build_finding(
            'invalid_merge',
            f'{merge.kind} takes {expected}',
            'merge',
            'field',
        )
    if (merge.kind == 'top_k') != (merge.limit is not None):
        expected = 'a limit' if merge.kind == 'top_k' else 'no limit'
        yield named.build_finding(
            'invalid_merge',
            f'{merge.kind} takes {expected}',
            'merge',
            'limit',
        )


def _check_service_names(
    services: Sequence[NamedService],
) -> Iterator[Finding]:
    names = [named.service.service for named in services]
    for index in _find_duplicates(names):
        first = services[names.index(names[index])].file
        yield services[index].build_finding(
            'service_used_twice',
            f'service {names[index]} is defined in {first} already',
            'service',
        )


def _check_addresses(services: Sequence[NamedService]) -> Iterator[Finding]:
    users: dict[str, str] = {}
    for named in services:
        for number, target in enumerate(named.service.targets):
            pointer = build_pointer((_TARGETS, number, 'address'))
            user = users.setdefault(target.address, f'{named.file}#{pointer}')
            if user != f'{named.file}#{pointer}':
                yield named.build_finding(
                    'address_used_twice',
                    f'{target.address} is used at {user} already',
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
                yield named.build_finding(
                    'merge_differs',
                    f'workload {workload} merges differently in {first.file}',
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
            yield named.build_finding(
                'no_common_version',
                f'workload {workload} needs a version common to all services; '
                f'the preceding files have {sorted(common)} in common',
                'index_versions',
            )
            return
        common = remaining


def _check_data_centres(
    services: Sequence[NamedService],
    data_centres: DataCentresFile,
) -> Iterator[Finding]:
    names = [entry.name for entry in data_centres.data_centres]
    for index in _find_duplicates(names):
        yield Finding(
            'data-centres.json',
            build_pointer(('data_centres', index, 'name')),
            'data_centre_used_twice',
            f'data centre {names[index]} is already listed above',
        )
    for named in services:
        for number, target in enumerate(named.service.targets):
            if target.data_centre not in names:
                yield named.build_finding(
                    'unknown_data_centre',
                    f'expected one of {", ".join(sorted(set(names)))}, '
                    f'found {target.data_centre}',
                    _TARGETS,
                    number,
                    'data_centre',
                )


def _find_duplicates(values: Iterable[object]) -> Iterator[int]:
    seen: set[object] = set()
    for index, value in enumerate(values):
        if value in seen:
            yield index
        seen.add(value)


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return 0 < int(port) <= _MAX_PORT
