"""Parses the operators' files and collects their faults."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import TypeAdapter, ValidationError

from almonddock_core.configuration._cross_check import (
    NamedService,
    find_cross_faults,
)
from almonddock_core.deployment import DataCentresFile, ServiceFile
from almonddock_core.model import Finding, FindingsError, build_pointer

#: The file that lists the data centres; every other file is a service file.
DATA_CENTRES_FILE = 'data-centres.json'

_SERVICE = TypeAdapter(ServiceFile)
_DATA_CENTRES = TypeAdapter(DataCentresFile)


@dataclass(frozen=True, slots=True)
class CheckedFiles:
    """Files without faults; created only by :func:`check_files`."""

    #: Sorted by the service's name.
    services: tuple[ServiceFile, ...]
    data_centres: DataCentresFile
    #: The content of each service file, by service name.
    bodies: Mapping[str, bytes]
    #: The content of ``data-centres.json``.
    data_centres_body: bytes


def check_files(files: Mapping[str, bytes]) -> CheckedFiles:
    """Checks all files together and returns their typed contents.

    Raises :class:`~almonddock_core.model.FindingsError` with every fault of
    every file at once: first the faults within a file, then those between
    the files that could be parsed.
    """
    findings: list[Finding] = []
    services: list[NamedService] = []
    for file in sorted(files.keys() - {DATA_CENTRES_FILE}):
        service = parse_file(file, files[file], _SERVICE, findings)
        if service is not None:
            services.append(NamedService(file, service))
    data_centres = _parse_data_centres(files, findings)
    findings.extend(find_cross_faults(services, data_centres))
    if data_centres is None or findings:
        raise FindingsError(findings)
    services.sort(key=lambda named: named.service.service)
    return CheckedFiles(
        services=tuple(named.service for named in services),
        data_centres=data_centres,
        bodies={named.service.service: files[named.file] for named in services},
        data_centres_body=files[DATA_CENTRES_FILE],
    )


def parse_file(
    file: str,
    content: bytes,
    adapter: TypeAdapter[Any],
    findings: list[Finding],
) -> Any:
    """Returns the parsed file, or adds its faults to findings.

    Returns None if the file has faults.
    """
    try:
        return adapter.validate_json(content)
    except ValidationError as error:
        findings.extend(_list_faults(file, error))
    return None


def _list_faults(file: str, error: ValidationError) -> list[Finding]:
    faults = error.errors(include_url=False, include_input=False)
    pointers = {build_pointer(fault['loc']) for fault in faults}
    return [
        Finding(file, pointer, fault['type'], fault['msg'])
        for fault in faults
        if not _is_consequence(
            pointer := build_pointer(fault['loc']),
            fault['type'],
            pointers,
        )
    ]


def _is_consequence(pointer: str, code: str, pointers: set[str]) -> bool:
    # Pydantic drops invalid items, so it also reports their list as too short.
    return code == 'too_short' and any(
        other.startswith(f'{pointer}/') for other in pointers
    )


def _parse_data_centres(
    files: Mapping[str, bytes],
    findings: list[Finding],
) -> DataCentresFile | None:
    content = files.get(DATA_CENTRES_FILE)
    if content is None:
        findings.append(
            Finding(
                DATA_CENTRES_FILE,
                '',
                'missing_file',
                'expected a file that lists every data centre',
            ),
        )
        return None
    parsed: DataCentresFile | None = parse_file(
        DATA_CENTRES_FILE,
        content,
        _DATA_CENTRES,
        findings,
    )
    return parsed
