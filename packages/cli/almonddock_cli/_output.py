"""Prints results as text or, with ``--json``, as JSON."""

import sys
from typing import Annotated, Any, NoReturn

import orjson
import typer
from rich.console import Console

from almonddock_cli._exits import ExitCode

#: Prints results to standard output.
CONSOLE = Console()

#: Prints errors to standard error, so that results can be piped.
ERRORS = Console(stderr=True)

JsonFlag = Annotated[
    bool,
    typer.Option('--json', help='Print one JSON document.'),
]

HostUrls = Annotated[
    list[str],
    typer.Option(
        '--host',
        envvar='ALMONDDOCK_HOSTS',
        help='Base URL of an entry host; may be given several times.',
    ),
]


def print_json(document: Any) -> None:
    """Prints one JSON document, indented."""
    text = orjson.dumps(document, option=orjson.OPT_INDENT_2, default=str)
    sys.stdout.write(f'{text.decode()}\n')


def fail(message: str, code: ExitCode) -> NoReturn:
    """Prints an error and exits with the code."""
    ERRORS.print(message, style='red', markup=False, highlight=False)
    raise typer.Exit(code)
