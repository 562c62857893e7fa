"""Reads the folder of configuration files that operators publish."""

import pathlib
from typing import Annotated

import orjson
import typer

from almonddock_cli._exits import ExitCode
from almonddock_cli._output import fail, print_json
from almonddock_core.configuration import CheckedFiles, check_files
from almonddock_core.model import FindingsError, Revision

#: Records the revision under which a folder was last published. No service file
#: has a name that starts with a dot.
BASE_FILE = '.almonddock.json'

Folder = Annotated[
    pathlib.Path,
    typer.Argument(
        metavar='DIR',
        exists=True,
        file_okay=False,
        help='Folder with data-centres.json and one JSON file a service.',
    ),
]


def load_folder(folder: pathlib.Path, *, as_json: bool) -> CheckedFiles:
    """Returns the checked files, or prints every fault and exits with 2."""
    try:
        return check_files(read_files(folder))
    except FindingsError as error:
        report_findings(error, as_json=as_json)
        raise typer.Exit(ExitCode.INVALID) from error


def read_files(folder: pathlib.Path) -> dict[str, bytes]:
    """Returns the contents of every JSON file, by file name."""
    return {
        path.name: path.read_bytes()
        for path in sorted(folder.glob('*.json'))
        if not path.name.startswith('.')
    }


def report_findings(error: FindingsError, *, as_json: bool) -> None:
    """Prints every fault with its location."""
    if as_json:
        print_json({'code': error.code, 'findings': error.findings})
        return
    for finding in error.findings:
        typer.echo(str(finding))
    typer.echo(f'{len(error.findings)} faults found')


def read_base_revision(folder: pathlib.Path) -> Revision | None:
    """Returns the revision of the folder's last publish, None if not recorded.

    Exits with 2 if the record cannot be read.
    """
    path = folder / BASE_FILE
    if not path.exists():
        return None
    try:
        return Revision(int(orjson.loads(path.read_bytes())['revision']))
    except (ValueError, LookupError, TypeError) as error:
        fail(f'{path} cannot be read: {error!r}', ExitCode.INVALID)


def write_base_revision(folder: pathlib.Path, revision: Revision) -> None:
    """Records the revision under which the folder was published."""
    path = folder / BASE_FILE
    path.write_bytes(orjson.dumps({'revision': revision}))
