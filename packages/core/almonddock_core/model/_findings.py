"""Faults found in settings and files, collected with their place."""

from collections.abc import Iterable
from dataclasses import dataclass

from almonddock_core.model._errors import AlmonddockError


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One fault and where it stands."""

    #: The file, as the user named it; empty for a request body.
    file: str
    #: The JSON pointer (RFC 6901) in that file; empty for the whole file.
    pointer: str
    #: A stable code, for example ``unknown_data_centre``.
    code: str
    #: What was found and what was expected.
    message: str

    def __str__(self) -> str:
        """Returns one line: place, code and message."""
        return f'{self.file}#{self.pointer}: {self.code}: {self.message}'


class FindingsError(AlmonddockError):
    """One or more faults were found; all are reported together."""

    code = 'invalid_files'

    def __init__(self, findings: Iterable[Finding]) -> None:
        self.findings = tuple(sorted(findings))
        super().__init__('\n'.join(str(finding) for finding in self.findings))


def build_pointer(location: Iterable[str | int]) -> str:
    """Returns the JSON pointer for a path of keys and indexes."""
    escaped = (
        str(part).replace('~', '~0').replace('/', '~1') for part in location
    )
    return ''.join(f'/{part}' for part in escaped)
