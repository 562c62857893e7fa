"""Reads the settings file and reports its faults in one error.

Relations between fields are checked only if each field is valid.
"""

import pathlib

from pydantic import TypeAdapter, ValidationError

from almonddock_core.model import Finding, FindingsError, build_pointer
from almonddock_daemon.settings._settings import HostSettings

_ADAPTER = TypeAdapter(HostSettings)


def load_settings(path: pathlib.Path) -> HostSettings:
    """Returns the checked settings.

    Raises:
        FindingsError: the file cannot be read or has faults.
    """
    try:
        text = path.read_bytes()
    except OSError as error:
        message = f'the file cannot be read: {error.strerror}'
        raise FindingsError(
            [Finding(str(path), '', 'unreadable', message)],
        ) from error
    return parse_settings(str(path), text)


def parse_settings(file: str, text: bytes) -> HostSettings:
    """Returns the checked settings in ``text``.

    Raises:
        FindingsError: the text has faults.
    """
    try:
        settings = _ADAPTER.validate_json(text)
    except ValidationError as error:
        raise FindingsError(_list_findings(file, error)) from error
    findings = _check_field_relations(file, settings)
    if findings:
        raise FindingsError(findings)
    return settings


def _list_findings(file: str, error: ValidationError) -> list[Finding]:
    return [
        Finding(
            file,
            build_pointer(fault['loc']),
            fault['type'],
            fault['msg'],
        )
        for fault in error.errors(include_url=False)
    ]


def _check_field_relations(file: str, settings: HostSettings) -> list[Finding]:
    findings = []
    if settings.listen.http == settings.listen.link:
        findings.append(
            Finding(
                file,
                '/listen/link',
                'address_used_twice',
                'expected an address other than that of /listen/http',
            ),
        )
    traces = settings.traces
    if traces.export == 'otlp' and traces.endpoint is None:
        findings.append(
            Finding(
                file,
                '/traces/endpoint',
                'missing',
                'expected an endpoint, since /traces/export is otlp',
            ),
        )
    return findings
